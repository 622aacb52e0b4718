// Keeps the endpoint list up to date: polls discovery when the router requests it, and reads the watch that
// each successful poll becomes. Not thread-safe: everything runs on the scheduler's thread.
#pragma once

#include "base/http_client/exchange.h"
#include "control/discovery/endpoint_list.h"

#include <map>

namespace myrtlehead::discovery {

class EndpointWatch {
public:
  // `address`: discovery's address. `zones`, `unixAtZero`: as for decodeEndpointList().
  EndpointWatch(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, log::Log &log,
                net::Address address, std::vector<std::string> zones, Nanoseconds unixAtZero)
      : sched_(sched), budget_(budget), router_(router), log_(log), address_(address),
        zones_(std::move(zones)), unixAtZero_(unixAtZero) {}

  // Applies the list that this instance had before it was restarted. Returns false, and changes nothing, if
  // `initialList` is not a valid list.
  bool applyInitialList(const json::Value &initialList);
  // Polls discovery whenever the router requests it. Does not return.
  net::Task<> run();
  // Changes discovery's address. The watch at the previous address is read until a watch at the new address
  // has received a message.
  void moveTo(net::Address address);

private:
  // A poll and the watch that it becomes.
  struct Call {
    Call(net::Address discoveryAddress, std::uint64_t version)
        : address(discoveryAddress), addressVersion(version) {}
    sched::CancellationToken superseded; // cancelled when a newer call has received a message
    net::Address address;
    std::uint64_t addressVersion;
    std::uint64_t requestedIndex = 0; // the version of the list that the poll named
    bool hasReceivedMessage = false;
  };
  using CallNumber = std::uint64_t;

  void startCall();
  net::Task<> runCall(CallNumber number, std::shared_ptr<Call> call);
  net::ErrorCode handleMessages(CallNumber number, Call &call, std::string &received);
  net::ErrorCode applyListUpdate(const Call &call, const std::string &message);
  bool isOutdated(const Call &call, const EndpointListMessage &list) const;
  void cancelOlderCalls(CallNumber number);
  bool isAtCurrentAddress(const Call &call) const { return call.addressVersion == addressVersion_; }
  OtherCalls otherCalls() const;

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  log::Log &log_;
  net::Address address_;
  std::vector<std::string> zones_;
  Nanoseconds unixAtZero_;
  std::uint64_t listIndex_ = 0; // version of the latest list applied
  CallNumber lastCallNumber_ = 0;
  std::uint64_t addressVersion_ = 0; // incremented by each moveTo()
  std::map<CallNumber, std::shared_ptr<Call>> calls_;
};

} // namespace myrtlehead::discovery
