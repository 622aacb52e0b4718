// Keeps the endpoint list up to date: polls discovery when the router asks for it, and follows the watch that
// each successful poll becomes. Not thread-safe; all of it runs on the scheduler's thread.
#pragma once

#include "base/http_client/exchange.h"
#include "control/discovery/endpoint_list.h"

#include <map>

namespace myrtlehead::discovery {

class EndpointWatch {
public:
  // `at`: discovery's address. `zones`, `unixAtZero`: as for decodeEndpointList().
  EndpointWatch(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, log::Log &log,
                net::Address at, std::vector<std::string> zones, Nanoseconds unixAtZero)
      : sched_(sched), budget_(budget), router_(router), log_(log), at_(at), zones_(std::move(zones)),
        unixAtZero_(unixAtZero) {}

  // Applies the list that this instance had before it was restarted. Returns false, and changes nothing, if
  // `known` is not a list.
  bool applyInitialList(const json::Value &known);
  net::Task<> run();
  // Polls discovery at its new address. The watch at the old one is followed until the new one has sent
  // something.
  void moveTo(net::Address at);

private:
  // A poll and the watch that it becomes.
  struct Call {
    Call(net::Address to, std::uint64_t itsAddressVersion) : at(to), addressVersion(itsAddressVersion) {}
    sched::CancellationToken superseded; // a newer call has received a message
    net::Address at;
    std::uint64_t addressVersion;
    bool hasMessage = false; // whether a message has arrived
  };
  using CallNumber = std::uint64_t;

  void startCall();
  net::Task<> runCall(CallNumber number, std::shared_ptr<Call> call);
  net::ErrorCode handleMessages(CallNumber number, Call &call, std::string &received);
  net::ErrorCode applyListUpdate(const std::string &message);
  void cancelOlderCalls(CallNumber number);
  bool isAtCurrentAddress(const Call &call) const { return call.addressVersion == addressVersion_; }
  OtherCalls otherCalls() const;

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  log::Log &log_;
  net::Address at_;
  std::vector<std::string> zones_;
  Nanoseconds unixAtZero_;
  std::uint64_t listIndex_ = 0; // of the latest list that was applied
  CallNumber lastCall_ = 0;
  std::uint64_t addressVersion_ = 0; // grows with each move
  std::map<CallNumber, std::shared_ptr<Call>> calls_;
};

} // namespace myrtlehead::discovery
