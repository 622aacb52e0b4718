// Tests of the times at which a single instance and a whole fleet poll discovery, in virtual time.
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
  Deployment deployment;
  deployment.instanceCount = instances;
  deployment.pollsEndpointList = discovery == Discovery::sharedService;
  deployment.pollInterval = 10 * kSecond;
  return deployment;
}

// A fleet and one discovery service that handles calls one after another and rejects calls that would wait
// longer than two seconds.
class Fleet {
public:
  Fleet(int instanceCount, double callsPerSecond, Deployment deployment)
      : callTime_(static_cast<Nanoseconds>(1e9 / callsPerSecond)), random_(7) {
    deployment.instanceCount = instanceCount;
    for (deployment.ownIndex = 0; deployment.ownIndex < instanceCount; ++deployment.ownIndex)
      instances_.push_back({std::make_unique<DiscoverySubscription>(deployment)});
  }
  void allReceiveMessage(Nanoseconds at) {
    for (auto &instance : instances_) receiveMessage(instance, at);
  }
  void allAreRejected(Nanoseconds at) {
    for (auto &instance : instances_)
      instance.subscription->onClosed(CallEnd::rejected, OtherCalls::none, at, drawJitter());
  }
  // Runs until each instance has received a message since `from`. Returns the time until the last one did.
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
    busyUntil_ = std::max(busyUntil_, now) + callTime_ / 20; // rejecting a call takes discovery some time too
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
    const Nanoseconds duration = fleet.runUntilAnswered(last + kMillisecond);
    CHECK(duration > 2 * kSecond); // no poll before a keep-alive is overdue
    CHECK(duration < 6 * kSecond - 500 * kMillisecond);
    CHECK(fleet.calls() == instances); // one call per instance: no call was rejected
  }
}

TEST_CASE("the polls after the watches fall silent are evenly spread") {
  std::vector<int> callsByTenthOfSecond(100);
  auto deployment = fleetOf(300);
  std::knuth_b random(7);
  for (deployment.ownIndex = 0; deployment.ownIndex < 300; ++deployment.ownIndex) {
    DiscoverySubscription subscription(deployment);
    subscription.onMessage(MessageSource::currentAddress, 0,
                           std::uniform_real_distribution<double>(0, 1)(random));
    ++callsByTenthOfSecond[static_cast<std::size_t>(subscription.nextCallAt() / (100 * kMillisecond))];
  }
  for (const int calls : callsByTenthOfSecond) CHECK(calls <= 25); // 300 calls over 1.4 s
}

TEST_CASE("a fleet whose polls are rejected backs off until all are answered") {
  for (const auto &[instances, most] :
       {std::pair{1, kSecond}, {3, kSecond}, {100, 15 * kSecond}, {500, 75 * kSecond}}) {
    Fleet fleet(instances, 10, fleetOf(1));
    fleet.allAreRejected(kSecond);
    CHECK(fleet.runUntilAnswered(kSecond) <= most);
  }
}

TEST_CASE("after discovery has closed a watch, the next poll comes within the poll interval") {
  auto deployment = fleetOf(300);
  for (deployment.ownIndex = 0; deployment.ownIndex < 300; ++deployment.ownIndex) {
    DiscoverySubscription subscription(deployment);
    subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
    subscription.onClosed(CallEnd::watchClosed, OtherCalls::none, 2 * kSecond, 0.999);
    CHECK(subscription.nextCallAt() < 2 * kSecond + deployment.pollInterval / 2);
    CHECK(subscription.nextCallAt() > 2 * kSecond);
  }
}

TEST_CASE("a single instance polls immediately, again without an answer, and not while a watch is open") {
  DiscoverySubscription subscription(fleetOf(1));
  CHECK(subscription.nextCallAt() == 0);
  subscription.onCallSent(kSecond);
  CHECK(subscription.nextCallAt() == 4 * kSecond);
  subscription.onMessage(MessageSource::currentAddress, 2 * kSecond, 0.5);
  CHECK(subscription.nextCallAt() > 4 * kSecond);
  subscription.onAnswered();
  CHECK(subscription.nextCallAt() == kNoCallDue);
}

TEST_CASE("the end of a call is ignored while another watch receives messages") {
  DiscoverySubscription subscription(fleetOf(3));
  subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  const Nanoseconds due = subscription.nextCallAt();
  subscription.onClosed(CallEnd::rejected, OtherCalls::watching, 2 * kSecond, 0.5);
  CHECK(subscription.nextCallAt() == due);
  subscription.onClosed(CallEnd::rejected, OtherCalls::watching, 5 * kSecond,
                        0.5); // the other watch has fallen silent too
  CHECK(subscription.nextCallAt() > 5 * kSecond);
}

TEST_CASE("endpoints need proof only once the list counts as outdated, until a message comes") {
  DiscoverySubscription subscription(fleetOf(3));
  CHECK(subscription.proofRequiredSince(100 * kSecond) ==
        0); // the initial list is relied on until the first call
  subscription.onCallSent(9 * kSecond);
  CHECK(subscription.proofRequiredSince(10 * kSecond) == 0);
  subscription.onMessage(MessageSource::currentAddress, 10 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(15 * kSecond) == 0);
  subscription.onClosed(CallEnd::rejected, OtherCalls::watching, 15 * kSecond, 0.5);
  subscription.onClosed(CallEnd::unreachable, OtherCalls::none, 15 * kSecond,
                        0.5); // discovery is unreachable, so there are still no messages
  CHECK(subscription.proofRequiredSince(16 * kSecond) > 10 * kSecond);
  CHECK(subscription.proofRequiredSince(20 * kSecond) > 14 * kSecond);
  subscription.onMessage(MessageSource::currentAddress, 20 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(20 * kSecond) == 0);
}

TEST_CASE("after an address change the fleet's polls are spread and sent well before the instances count as "
          "notified") {
  auto deployment = fleetOf(300);
  Nanoseconds first = kNoCallDue;
  Nanoseconds last = 0;
  for (deployment.ownIndex = 0; deployment.ownIndex < 300; ++deployment.ownIndex) {
    DiscoverySubscription subscription(deployment);
    subscription.onAddressChanged(kSecond, 0.5);
    first = std::min(first, subscription.nextCallAt());
    last = std::max(last, subscription.nextCallAt());
  }
  CHECK(first < 1100 * kMillisecond);
  CHECK(last > 2 * kSecond);
  CHECK(last < kSecond + 4 * kSecond - 2 * kSecond); // minus the time that discovery takes to answer
}

TEST_CASE("a local agent is polled again soon, regardless of the fleet's size") {
  DiscoverySubscription subscription(fleetOf(300, Discovery::localAgent));
  for (int i = 0; i < 20; ++i) subscription.onClosed(CallEnd::unreachable, OtherCalls::none, kSecond, 0.99);
  CHECK(subscription.nextCallAt() < kSecond + 300 * kMillisecond);
}

TEST_CASE("messages from a previous address do not delay a call to the current one") {
  DiscoverySubscription subscription(fleetOf(1));
  subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  subscription.onAddressChanged(2 * kSecond, 0.5);
  subscription.onCallSent(subscription.nextCallAt());
  subscription.onClosed(CallEnd::rejected, OtherCalls::none, 3 * kSecond, 0.5);
  const Nanoseconds due = subscription.nextCallAt();
  CHECK(due < 4 * kSecond);
  subscription.onMessage(MessageSource::previousAddress, 3 * kSecond + kMillisecond, 0.5);
  CHECK(subscription.nextCallAt() == due);
}

TEST_CASE("endpoints need proof four seconds after an address change, whatever the previous address sends") {
  DiscoverySubscription subscription(fleetOf(3));
  subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  subscription.onAddressChanged(2 * kSecond, 0.5);
  subscription.onMessage(MessageSource::previousAddress, 4 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(5 * kSecond) == 0);
  subscription.onClosed(CallEnd::watchClosed, OtherCalls::unanswered, 5 * kSecond,
                        0.5); // the end of the watch at the previous address
  CHECK(subscription.proofRequiredSince(6 * kSecond) > 2 * kSecond);
  subscription.onMessage(MessageSource::currentAddress, 6 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(6 * kSecond) == 0);
}

TEST_CASE("the end of a watch while a call is unanswered waits for that call, and no longer") {
  DiscoverySubscription subscription(fleetOf(3));
  subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  subscription.onCallSent(2 * kSecond);
  const Nanoseconds due = subscription.nextCallAt();
  subscription.onClosed(CallEnd::watchClosed, OtherCalls::unanswered, 2100 * kMillisecond, 0.5);
  CHECK(subscription.nextCallAt() == due);
  subscription.onClosed(CallEnd::rejected, OtherCalls::none, 2200 * kMillisecond, 0.5);
  CHECK(subscription.nextCallAt() < 3200 * kMillisecond);
  CHECK(subscription.proofRequiredSince(6400 * kMillisecond) == 0); // counted from the watch's last message
  CHECK(subscription.proofRequiredSince(6500 * kMillisecond) != 0);
  CHECK(subscription.proofRequiredSince(7600 * kMillisecond) == 3600 * kMillisecond);
}

TEST_CASE("a list whose watch was closed is relied on until the instance counts as notified") {
  DiscoverySubscription subscription(fleetOf(30));
  subscription.onCallSent(0);
  subscription.onMessage(MessageSource::currentAddress, 8 * kSecond, 0.5);
  subscription.onClosed(CallEnd::watchClosed, OtherCalls::none, 9 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(13400 * kMillisecond) == 0); // counted from the last message
  CHECK(subscription.proofRequiredSince(13500 * kMillisecond) != 0);
  CHECK(subscription.proofRequiredSince(15 * kSecond) > 9 * kSecond);
  for (Nanoseconds now = 15 * kSecond; now < 60 * kSecond; now += 5 * kSecond) {
    subscription.onCallSent(now);
    subscription.onClosed(CallEnd::rejected, OtherCalls::none, now + 2 * kSecond, 0.5);
    CHECK(subscription.proofRequiredSince(now + 2 * kSecond) > now - 5 * kSecond);
  }
  subscription.onMessage(MessageSource::currentAddress, 60 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(65 * kSecond) == 0);
}

TEST_CASE("the initial list is relied on until the first call has failed") {
  for (const auto end :
       {CallEnd::rejected, CallEnd::unreachable, CallEnd::connectionRefused, CallEnd::watchClosed}) {
    DiscoverySubscription subscription(fleetOf(30));
    subscription.onCallSent(kSecond);
    CHECK(subscription.proofRequiredSince(3 * kSecond) == 0);
    subscription.onClosed(end, OtherCalls::none, 3 * kSecond, 0.5);
    CHECK(subscription.proofRequiredSince(3 * kSecond) == kNoProofAccepted);
    CHECK(subscription.proofRequiredSince(20 * kSecond) == kNoProofAccepted);
    subscription.onMessage(MessageSource::currentAddress, 20 * kSecond, 0.5);
    CHECK(subscription.proofRequiredSince(25 * kSecond) == 0);
  }
}

TEST_CASE("an answer proves an endpoint for less than the notification time, since draining endpoints still "
          "answer") {
  // A draining endpoint may serve requests for about one more second.
  DiscoverySubscription subscription(fleetOf(30));
  subscription.onCallSent(0);
  subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  constexpr Nanoseconds kDrainingAt = 4330 * kMillisecond;
  constexpr Nanoseconds kNotified = kDrainingAt + 6 * kSecond;
  constexpr Nanoseconds kServesAfterDraining = 1050 * kMillisecond;
  for (Nanoseconds now = kNotified; now < kNotified + 10 * kSecond; now += 10 * kMillisecond)
    CHECK(subscription.proofRequiredSince(now) > kDrainingAt + kServesAfterDraining);
}

TEST_CASE("DNS records replace the list only if no list was ever received") {
  DiscoverySubscription subscription(fleetOf(30));
  subscription.onCallSent(kSecond);
  subscription.onClosed(CallEnd::rejected, OtherCalls::none, 3 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(20 * kSecond, EndpointSources::discoveryAndDns) == 0);
  CHECK(subscription.proofRequiredSince(20 * kSecond) == kNoProofAccepted);
  subscription.onMessage(MessageSource::currentAddress, 20 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(40 * kSecond, EndpointSources::discoveryAndDns) > 35 * kSecond);
}

// The watch may have fallen silent before its end, and an endpoint have begun to drain before discovery went
// down. While discovery is down, no further change counts as notified.
TEST_CASE("a refused connection makes a list count as up to date that may lack a drain") {
  DiscoverySubscription subscription(fleetOf(1));
  subscription.onCallSent(0);
  subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  subscription.onClosed(CallEnd::watchClosed, OtherCalls::none, 2 * kSecond, 0.5);
  for (Nanoseconds now = 3 * kSecond; now < 60 * kSecond; now += 5 * kSecond) {
    subscription.onCallSent(now);
    subscription.onClosed(CallEnd::connectionRefused, OtherCalls::none, now, 0.5);
    // What has answered two seconds after the first refusal had not begun to drain before the outage.
    CHECK(subscription.proofRequiredSince(now + 5 * kSecond) == std::min(now + kSecond, 5 * kSecond));
  }
  subscription.onMessage(MessageSource::currentAddress, 58 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(63 * kSecond) == 0);
  subscription.onCallSent(60 * kSecond);
  subscription.onClosed(CallEnd::unreachable, OtherCalls::none, 60 * kSecond,
                        0.5); // an unreachable discovery is not known to be down
  CHECK(subscription.proofRequiredSince(64 * kSecond) != 0);
}

// Changes that the watch missed, until another one is open, count as notified six seconds after it fell
// silent.
TEST_CASE("an answer proves an endpoint although a silent watch has missed changes") {
  for (const auto end : {CallEnd::watchSilent, CallEnd::watchClosed}) {
    DiscoverySubscription subscription(fleetOf(3));
    subscription.onCallSent(0);
    subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
    const Nanoseconds due = subscription.nextCallAt();
    subscription.onClosed({end, 3 * kSecond}, OtherCalls::none, 4 * kSecond, 0.5);
    if (end == CallEnd::watchSilent) CHECK(subscription.nextCallAt() == due);
    CHECK(subscription.proofRequiredSince(6 * kSecond) == 0);
    for (Nanoseconds now = 7 * kSecond; now < 20 * kSecond; now += kSecond)
      CHECK(subscription.proofRequiredSince(now) == kNoProofAccepted);
    subscription.onMessage(MessageSource::currentAddress, 20 * kSecond, 0.5);
    CHECK(subscription.proofRequiredSince(20 * kSecond) == 0);
  }
}

TEST_CASE("a second address change puts off the time at which the first counts as notified") {
  DiscoverySubscription subscription(fleetOf(30));
  subscription.onCallSent(0);
  subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  subscription.onAddressChanged(2 * kSecond, 0.5);
  subscription.onAddressChanged(4 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(5800 * kMillisecond) != 0);
  subscription.onAddressChanged(7 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(7 * kSecond) == kNoProofAccepted);
  subscription.onMessage(MessageSource::currentAddress, 8 * kSecond, 0.5);
  subscription.onAddressChanged(10 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(13 * kSecond) == 0); // the third change was answered
}

// An answer proves nothing then: an endpoint that drained in the meantime still answers for a while, and its
// drain counts as notified at once.
TEST_CASE("a recent answer still proves an endpoint when an address change counts as notified") {
  DiscoverySubscription subscription(fleetOf(30));
  subscription.onCallSent(0);
  subscription.onMessage(MessageSource::currentAddress, kSecond, 0.5);
  subscription.onAddressChanged(2 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(5 * kSecond) == 0);
  for (Nanoseconds now = 6 * kSecond; now < 30 * kSecond; now += kSecond)
    CHECK(subscription.proofRequiredSince(now) == kNoProofAccepted);
  subscription.onMessage(MessageSource::currentAddress, 30 * kSecond, 0.5);
  CHECK(subscription.proofRequiredSince(30 * kSecond) == 0);
}
