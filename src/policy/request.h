// One request, its attempts and their outcomes, and what a decision says to do with it.
#pragma once

#include "policy/endpoint.h"

#include <vector>

namespace myrtlehead {

enum class Outcome { succeeded, failed, rejected, timedOut, unreachable, reset, cancelled, notSent };

// Whether an outcome proves that the attempt was not executed.
inline bool provesNotExecuted(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::unreachable || outcome == Outcome::notSent;
}

// Whether an outcome says that the endpoint, or the way to it, is at fault.
inline bool isHardFailure(Outcome outcome) {
  return outcome == Outcome::failed || outcome == Outcome::timedOut || outcome == Outcome::reset ||
         outcome == Outcome::unreachable;
}

struct Attempt {
  Endpoint *endpoint = nullptr;
  Nanoseconds sentAt = 0;
  Nanoseconds timeout = 0;
  int build = 0; // with zone and cell: as listed when it was sent
  int zone = 0;
  int cell = 0;
  bool toCandidate = false;       // to an endpoint of a candidate build
  bool sentAboveMeanLoad = false; // to a candidate that was more crowded than the baseline when it was sent
  bool inFlight = true;
  bool mayHaveExecuted = true; // until an outcome proves that it was not executed
};

struct Request {
  std::uint64_t id = 0;
  int route = 0;
  std::size_t tenant = 0;
  std::uint64_t key = 0; // 0: none
  Nanoseconds receivedAt = 0;
  Nanoseconds deadline = 0;   // by which the client wants its answer
  bool isClientRetry = false; // the client has sent it before
  int priorityGroup = 0;      // of the endpoints that it is for
  std::vector<Attempt> attempts;
  bool counted = false;       // its part of the budgets is booked
  bool finished = false;      // the client has its final answer, or has disconnected
  bool answerStarted = false; // part of an answer has been passed on
  int inFlight = 0;           // attempts
};

// What to do with a request now.
struct RoutingDecision {
  // wait: nothing yet; ask again after RoutingPolicy::recheckDelay(). shed: refuse it, saying that a retry is
  // harmless. fail: refuse it, as an attempt may have been executed. none: nothing is to be done.
  enum Action { forward, wait, shed, fail, none } action = none;
  Endpoint *endpoint = nullptr; // forward
  Nanoseconds timeout = 0;      // forward: give the attempt up after this
  Nanoseconds retryAfter = 0;   // shed: when the client should come back; 0: not said
  Nanoseconds sendBy = 0;       // forward: its last byte may not leave later
};

} // namespace myrtlehead
