// A request, its attempts with their outcomes, and the routing decision for it.
#pragma once

#include "policy/endpoint.h"

#include <vector>

namespace myrtlehead {

enum class Outcome { succeeded, failed, rejected, timedOut, unreachable, reset, cancelled, notSent };

// Whether an outcome proves that the endpoint did not execute the attempt.
inline bool provesNotExecuted(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::unreachable || outcome == Outcome::notSent;
}

// Whether an outcome shows a fault of the endpoint or of the network path to it.
inline bool isHardFailure(Outcome outcome) {
  return outcome == Outcome::failed || outcome == Outcome::timedOut || outcome == Outcome::reset ||
         outcome == Outcome::unreachable;
}

struct Attempt {
  Endpoint *endpoint = nullptr;
  Nanoseconds sentAt = 0;
  Nanoseconds timeout = 0; // maximum duration of the attempt
  // Build, zone and cell of the endpoint when the attempt was sent.
  int build = 0;
  int zone = 0;
  int cell = 0;
  bool toCandidate = false;       // the endpoint ran a candidate build when the attempt was sent
  bool sentAboveMeanLoad = false; // see BuildSelector::exceedsMeanLoad(); always false for the baseline
  bool inFlight = true;
  bool mayHaveExecuted = true; // becomes false if the outcome proves that the attempt was not executed
};

struct Request {
  std::uint64_t id = 0;
  int route = 0; // index into Deployment::routes
  std::size_t tenant = 0;
  std::uint64_t key = 0; // key for StickyKeys; 0: the request has no key
  Nanoseconds receivedAt = 0;
  Nanoseconds deadline = 0;   // the client expects its answer by this time
  bool isClientRetry = false; // the client has sent the same request before
  int priorityGroup = 0;      // preferred EndpointInfo::priorityGroup
  std::vector<Attempt> attempts;
  bool counted = false;       // the budgets for retries, exposure and quotas include this request
  bool finished = false;      // the client has received its final answer or has disconnected
  bool answerStarted = false; // the client has received a part of the answer
  int inFlight = 0;           // number of attempts in flight
};

// What the caller has to do with a request now.
struct RoutingDecision {
  enum Action {
    forward, // send an attempt to `endpoint`
    wait,    // no endpoint is available yet; call RoutingPolicy::route() again after recheckDelay()
    shed,    // refuse the request and tell the client that a retry is safe
    fail,    // refuse the request; an attempt may have been executed, so a retry may not be safe
    none     // do nothing
  } action = none;
  Endpoint *endpoint = nullptr; // forward: the destination
  Nanoseconds timeout = 0;      // forward: maximum duration of the attempt
  Nanoseconds retryAfter = 0;   // shed: delay before the client should retry; 0: unspecified
  Nanoseconds sendBy = 0;       // forward: the last byte must be sent by this time
};

} // namespace myrtlehead
