// When instances poll discovery for the endpoint list, alone and as a fleet, on a clock of the test's own.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/discovery_subscription.h"

#include <memory>
#include <random>
#include <vector>

using namespace myrtlehead;

namespace {

enum class Discovery { sharedService, localAgent };

Deployment fleetOf(int instances, Discovery discovery = Discovery::sharedService) {
  Deployment d;
  d.instanceCount = instances;
  d.pollsEndpointList = discovery == Discovery::sharedService;
  d.pollInterval = 10 * kSecond;
  return d;
}

// A fleet before one discovery service, which takes calls in turn and refuses those that would wait for over
// two seconds.
class Fleet {
public:
  Fleet(int instanceCount, double callsPerSecond, Deployment d)
      : callTime_(static_cast<Nanoseconds>(1e9 / callsPerSecond)), random_(7) {
    d.instanceCount = instanceCount;
    for (d.ownIndex = 0; d.ownIndex < instanceCount; ++d.ownIndex)
      instances_.push_back({std::make_unique<DiscoverySubscription>(d)});
  }
  void allReceiveMessage(Nanoseconds at) {
    for (auto &instance : instances_) receiveMessage(instance, at);
  }
  void allAreRefused(Nanoseconds at) {
    for (auto &instance : instances_)
      instance.subscription->onClosed(CallEnd::rejected, OtherCalls::none, at, drawJitter());
  }
  // Runs until each instance has received a message since `from`; returns how long the last one took.
  Nanoseconds runUntilAnswered(Nanoseconds from) {
    constexpr Nanoseconds kMaxTime = 100 * kSecond;
    for (Nanoseconds now = from; now < from + kMaxTime; now += 10 * kMillisecond) {
      std::size_t waiting = 0;
      for (auto &instance : instances_) {
        if (instance.answerAt != 0 && instance.answerAt <= now) receiveMessage(instance, instance.answerAt);
        if (instance.lastMessageAt >= from) continue;
        ++waiting;
        if (instance.answerAt == 0 && instance.subscription->nextCallAt() <= now) poll(instance, now);
      }
      if (waiting == 0) return now - from;
    }
    return kMaxTime;
  }
  int calls() const { return calls_; }

private:
  struct Instance {
    std::unique_ptr<DiscoverySubscription> subscription;
    Nanoseconds lastMessageAt = 0;
    Nanoseconds answerAt = 0; // of the poll in flight; 0: none
  };
  double drawJitter() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void receiveMessage(Instance &instance, Nanoseconds at) {
    instance.subscription->onMessage(MessageSource::currentAddress, at, drawJitter());
    instance.lastMessageAt = at;
    instance.answerAt = 0;
  }
  void poll(Instance &instance, Nanoseconds now) {
    instance.subscription->onCallSent(now);
    ++calls_;
    busyUntil_ = std::max(busyUntil_, now) + callTime_ / 20; // a refusal takes discovery some time, too
    if (busyUntil_ - now > 2 * kSecond) {
      instance.subscription->onClosed(CallEnd::rejected, OtherCalls::none, now, drawJitter());
      return;
    }
    busyUntil_ += callTime_;
    instance.answerAt = busyUntil_;
  }
  std::vector<Instance> instances_;
  Nanoseconds callTime_;
  Nanoseconds busyUntil_ = 0;
  int calls_ = 0;
  std::knuth_b random_;
};

} // namespace

TEST_CASE("watches that fall silent together are replaced before the instances count as notified") {
  for (const int instances : {1, 30, 300}) {
    Fleet fleet(instances, 200, fleetOf(1));
    const Nanoseconds last = 6 * kSecond;
    fleet.allReceiveMessage(last);
    const Nanoseconds took = fleet.runUntilAnswered(last + kMillisecond);
    CHECK(took > 2 * kSecond); // none before a keep-alive is overdue
    CHECK(took < 6 * kSecond - 500 * kMillisecond);
    CHECK(fleet.calls() == instances); // one call each: nothing was refused
  }
}

TEST_CASE("the polls after a silence are evenly spread") {
  std::vector<int> bySecondTenths(100);
  auto d = fleetOf(300);
  std::knuth_b chance(7);
  for (d.ownIndex = 0; d.ownIndex < 300; ++d.ownIndex) {
    DiscoverySubscription s(d);
    s.onMessage(MessageSource::currentAddress, 0, std::uniform_real_distribution<double>(0, 1)(chance));
    ++bySecondTenths[static_cast<std::size_t>(s.nextCallAt() / (100 * kMillisecond))];
  }
  for (const int calls : bySecondTenths) CHECK(calls <= 25); // 300 over 1.4 s
}

TEST_CASE("a fleet that discovery refuses backs off until it is served") {
  for (const auto &[instances, most] :
       {std::pair{1, kSecond}, {3, kSecond}, {100, 15 * kSecond}, {500, 75 * kSecond}}) {
    Fleet fleet(instances, 10, fleetOf(1));
    fleet.allAreRefused(kSecond);
    CHECK(fleet.runUntilAnswered(kSecond) <= most);
  }
}

TEST_CASE("a watch that discovery has closed is polled for within the poll interval") {
  auto d = fleetOf(300);
  for (d.ownIndex = 0; d.ownIndex < 300; ++d.ownIndex) {
    DiscoverySubscription s(d);
    s.onMessage(MessageSource::currentAddress, kSecond, 0.5);
    s.onClosed(CallEnd::watchClosed, OtherCalls::none, 2 * kSecond, 0.999);
    CHECK(s.nextCallAt() < 2 * kSecond + d.pollInterval / 2);
    CHECK(s.nextCallAt() > 2 * kSecond);
  }
}

TEST_CASE("a lone instance polls at once, again without an answer, and not while a watch stands") {
  DiscoverySubscription s(fleetOf(1));
  CHECK(s.nextCallAt() == 0);
  s.onCallSent(kSecond);
  CHECK(s.nextCallAt() == 4 * kSecond);
  s.onMessage(MessageSource::currentAddress, 2 * kSecond, 0.5);
  CHECK(s.nextCallAt() > 4 * kSecond);
  s.onAnswered();
  CHECK(s.nextCallAt() == kNoCallDue);
}

TEST_CASE("the end of a call is ignored while another watch receives messages") {
  DiscoverySubscription s(fleetOf(3));
  s.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  const Nanoseconds due = s.nextCallAt();
  s.onClosed(CallEnd::rejected, OtherCalls::watching, 2 * kSecond, 0.5);
  CHECK(s.nextCallAt() == due);
  s.onClosed(CallEnd::rejected, OtherCalls::watching, 5 * kSecond,
             0.5); // the other one has fallen silent itself
  CHECK(s.nextCallAt() > 5 * kSecond);
}

TEST_CASE("endpoints need proof only once the list counts as outdated, until a message comes") {
  DiscoverySubscription s(fleetOf(3));
  CHECK(s.proofRequiredSince(100 * kSecond) ==
        0); // the list known at the start is relied on until the first call
  s.onCallSent(9 * kSecond);
  CHECK(s.proofRequiredSince(10 * kSecond) == 0);
  s.onMessage(MessageSource::currentAddress, 10 * kSecond, 0.5);
  CHECK(s.proofRequiredSince(15 * kSecond) == 0);
  s.onClosed(CallEnd::rejected, OtherCalls::watching, 15 * kSecond, 0.5);
  s.onClosed(CallEnd::unreachable, OtherCalls::none, 15 * kSecond,
             0.5); // cut off from discovery: the silence goes on
  CHECK(s.proofRequiredSince(16 * kSecond) > 10 * kSecond);
  CHECK(s.proofRequiredSince(20 * kSecond) > 14 * kSecond);
  s.onMessage(MessageSource::currentAddress, 20 * kSecond, 0.5);
  CHECK(s.proofRequiredSince(20 * kSecond) == 0);
}

TEST_CASE("after a move the fleet's polls are spread, and all come well before the move counts") {
  auto d = fleetOf(300);
  Nanoseconds first = kNoCallDue;
  Nanoseconds last = 0;
  for (d.ownIndex = 0; d.ownIndex < 300; ++d.ownIndex) {
    DiscoverySubscription s(d);
    s.onAddressChanged(kSecond, 0.5);
    first = std::min(first, s.nextCallAt());
    last = std::max(last, s.nextCallAt());
  }
  CHECK(first < 1100 * kMillisecond);
  CHECK(last > 2 * kSecond);
  CHECK(last < kSecond + 4 * kSecond - 2 * kSecond); // less discovery's own time to answer
}

TEST_CASE("a local agent is polled soon, whatever the fleet's size") {
  DiscoverySubscription s(fleetOf(300, Discovery::localAgent));
  for (int i = 0; i < 20; ++i) s.onClosed(CallEnd::unreachable, OtherCalls::none, kSecond, 0.99);
  CHECK(s.nextCallAt() < kSecond + 300 * kMillisecond);
}

TEST_CASE("messages of a former address put off no call to the current one") {
  DiscoverySubscription s(fleetOf(1));
  s.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  s.onAddressChanged(2 * kSecond, 0.5);
  s.onCallSent(s.nextCallAt());
  s.onClosed(CallEnd::rejected, OtherCalls::none, 3 * kSecond, 0.5);
  const Nanoseconds due = s.nextCallAt();
  CHECK(due < 4 * kSecond);
  s.onMessage(MessageSource::previousAddress, 3 * kSecond + kMillisecond, 0.5);
  CHECK(s.nextCallAt() == due);
}

TEST_CASE("endpoints need proof four seconds after a move, whatever the former address sends") {
  DiscoverySubscription s(fleetOf(3));
  s.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  s.onAddressChanged(2 * kSecond, 0.5);
  s.onMessage(MessageSource::previousAddress, 4 * kSecond, 0.5);
  CHECK(s.proofRequiredSince(5 * kSecond) == 0);
  s.onClosed(CallEnd::watchClosed, OtherCalls::unanswered, 5 * kSecond,
             0.5); // the end of the watch at the former address
  CHECK(s.proofRequiredSince(6 * kSecond) > 2 * kSecond);
  s.onMessage(MessageSource::currentAddress, 6 * kSecond, 0.5);
  CHECK(s.proofRequiredSince(6 * kSecond) == 0);
}

TEST_CASE("the end of a watch while a call is unanswered waits for that call, and no longer") {
  DiscoverySubscription s(fleetOf(3));
  s.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  s.onCallSent(2 * kSecond);
  const Nanoseconds due = s.nextCallAt();
  s.onClosed(CallEnd::watchClosed, OtherCalls::unanswered, 2100 * kMillisecond, 0.5);
  CHECK(s.nextCallAt() == due);
  s.onClosed(CallEnd::rejected, OtherCalls::none, 2200 * kMillisecond, 0.5);
  CHECK(s.nextCallAt() < 3200 * kMillisecond);
  CHECK(s.proofRequiredSince(7500 * kMillisecond) == 0); // it missed nothing until the end of the watch
  CHECK(s.proofRequiredSince(7600 * kMillisecond) == 3600 * kMillisecond);
}

TEST_CASE("a list whose watch was closed is relied on until the instance counts as notified") {
  DiscoverySubscription s(fleetOf(30));
  s.onCallSent(0);
  s.onMessage(MessageSource::currentAddress, 8 * kSecond, 0.5);
  s.onClosed(CallEnd::watchClosed, OtherCalls::none, 9 * kSecond, 0.5);
  CHECK(s.proofRequiredSince(14 * kSecond) == 0);
  CHECK(s.proofRequiredSince(15 * kSecond) > 9 * kSecond);
  for (Nanoseconds now = 15 * kSecond; now < 60 * kSecond; now += 5 * kSecond) {
    s.onCallSent(now);
    s.onClosed(CallEnd::rejected, OtherCalls::none, now + 2 * kSecond, 0.5);
    CHECK(s.proofRequiredSince(now + 2 * kSecond) > now - 5 * kSecond);
  }
  s.onMessage(MessageSource::currentAddress, 60 * kSecond, 0.5);
  CHECK(s.proofRequiredSince(65 * kSecond) == 0);
}

TEST_CASE("the list known at the start is relied on until the first call has failed") {
  for (const auto end :
       {CallEnd::rejected, CallEnd::unreachable, CallEnd::connectionRefused, CallEnd::watchClosed}) {
    DiscoverySubscription s(fleetOf(30));
    s.onCallSent(kSecond);
    CHECK(s.proofRequiredSince(3 * kSecond) == 0);
    s.onClosed(end, OtherCalls::none, 3 * kSecond, 0.5);
    CHECK(s.proofRequiredSince(3 * kSecond) == kNoProofAccepted);
    CHECK(s.proofRequiredSince(20 * kSecond) == kNoProofAccepted);
    s.onMessage(MessageSource::currentAddress, 20 * kSecond, 0.5);
    CHECK(s.proofRequiredSince(25 * kSecond) == 0);
  }
}

TEST_CASE("a success proves an endpoint for less than the notification time, as draining ones serve on") {
  // A draining endpoint may serve requests for about a second more.
  DiscoverySubscription s(fleetOf(30));
  s.onCallSent(0);
  s.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  constexpr Nanoseconds kDrainingAt = 4330 * kMillisecond;
  constexpr Nanoseconds kNotified = kDrainingAt + 6 * kSecond;
  constexpr Nanoseconds kServesAfterDraining = 1050 * kMillisecond;
  for (Nanoseconds now = kNotified; now < kNotified + 10 * kSecond; now += 10 * kMillisecond)
    CHECK(s.proofRequiredSince(now) > kDrainingAt + kServesAfterDraining);
}

TEST_CASE("DNS records stand in for a list that has never come, and for no other") {
  DiscoverySubscription s(fleetOf(30));
  s.onCallSent(kSecond);
  s.onClosed(CallEnd::rejected, OtherCalls::none, 3 * kSecond, 0.5);
  CHECK(s.proofRequiredSince(20 * kSecond, EndpointSources::discoveryAndDns) == 0);
  CHECK(s.proofRequiredSince(20 * kSecond) == kNoProofAccepted);
  s.onMessage(MessageSource::currentAddress, 20 * kSecond, 0.5);
  CHECK(s.proofRequiredSince(40 * kSecond, EndpointSources::discoveryAndDns) > 35 * kSecond);
}

TEST_CASE("while nobody listens at discovery's address, the list stays current") {
  DiscoverySubscription s(fleetOf(1));
  s.onCallSent(0);
  s.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  s.onClosed(CallEnd::watchClosed, OtherCalls::none, 2 * kSecond, 0.5);
  for (Nanoseconds now = 3 * kSecond; now < 60 * kSecond; now += 5 * kSecond) {
    s.onCallSent(now);
    s.onClosed(CallEnd::connectionRefused, OtherCalls::none, now, 0.5);
    CHECK(s.proofRequiredSince(now + 5 * kSecond) == 0);
  }
  s.onCallSent(60 * kSecond);
  s.onClosed(CallEnd::unreachable, OtherCalls::none, 60 * kSecond, 0.5); // cut off is not down
  CHECK(s.proofRequiredSince(64 * kSecond) != 0);
}
