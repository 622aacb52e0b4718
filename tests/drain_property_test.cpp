// Draws histories of drains and of faults of discovery, plays them through the router and the discovery
// subscription in virtual time, and checks each write to an endpoint against the notification oracle.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "lab/notification_oracle.h"
#include "policy_fixture.h"
#include "router/router.h"

#include <map>
#include <memory>
#include <random>
#include <sstream>

using namespace myrtlehead;

namespace {

constexpr Nanoseconds kHistoryLength = 45 * kSecond;
constexpr Nanoseconds kKeepAlive = 2 * kSecond;
constexpr Nanoseconds kPreviousAddressCloses = 1500 * kMillisecond;
constexpr Nanoseconds kLongestServiceWhileDraining = 2 * kSecond;
constexpr Nanoseconds kLongestConnect = 250 * kMillisecond;
constexpr Nanoseconds kLongestHoldUp = 150 * kMillisecond;
constexpr int kEndpoints = 12;

enum class Answer { watch, refuse, reject, hang };
enum class Faults { none, outages, silences, reloads, all };

class History {
public:
  History(std::uint32_t seed, Faults faults)
      : random_(seed), faults_(faults), router_(sched_, deployment(), seed, log_) {
    router_.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
    for (int i = 0; i < kEndpoints; ++i) endpoints_.push_back({"s-" + std::to_string(i)});
    router_.onEndpointUpdates(list(), true);
  }
  void play() {
    sched_.spawn(router_.run());
    sched_.spawn(pollDiscovery());
    sched_.spawn(sendRequests());
    for (auto &endpoint : endpoints_) sched_.spawn(drainRepeatedly(endpoint));
    if (faults_ == Faults::outages || faults_ == Faults::all) sched_.spawn(injectOutages());
    if (faults_ == Faults::silences || faults_ == Faults::all) sched_.spawn(injectSilences());
    if (faults_ == Faults::reloads || faults_ == Faults::all) sched_.spawn(reloadRepeatedly());
    sched_.spawn(haltAtEnd());
    sched_.run();
    sched_.destroyAllTasks();
  }
  int late = 0, requests = 0, forwarded = 0;
  std::string firstLate;

private:
  struct Endpoint {
    std::string name;
    bool isListed = true; // as ready
    Nanoseconds servesUntil = kHistoryLength * 2;
    Nanoseconds startedAt = 0;
    lab::NotificationOracle::ChangeNumber drain = 0;
  };
  struct Call {
    int address = 0;
    bool hasMessage = false;
    Nanoseconds lastReadAt = 0;
    sched::CancellationToken superseded;
  };

  static Deployment deployment() {
    auto out = smallDeployment();
    out.instanceCount = 1;
    out.pollsEndpointList = true;
    out.pollInterval = 10 * kSecond;
    out.hasPeers = false;
    return out;
  }
  Nanoseconds draw(Nanoseconds from, Nanoseconds to) {
    return std::uniform_int_distribution<Nanoseconds>(from, to)(random_);
  }
  bool happens(double share) { return std::bernoulli_distribution(share)(random_); }
  Nanoseconds now() const { return sched_.now(); }
  std::vector<endpoint_merge::Entry> list() const {
    std::vector<endpoint_merge::Entry> out;
    for (const auto &endpoint : endpoints_)
      out.push_back({endpoint.name,
                     "127.0.0.1:9",
                     {.build = 1,
                      .startedAt = endpoint.startedAt,
                      .state = endpoint.isListed ? EndpointState::ready : EndpointState::draining}});
    return out;
  }
  sched::Task<> haltAtEnd() {
    co_await sched_.sleep(kHistoryLength);
    sched_.halt();
  }

  // Endpoints drain, serve on for a while, and return as new machines.
  sched::Task<> drainRepeatedly(Endpoint &endpoint) {
    for (;;) {
      co_await sched_.sleep(draw(kSecond, 15 * kSecond));
      endpoint.isListed = false;
      endpoint.servesUntil = now() + draw(0, kLongestServiceWhileDraining);
      endpoint.drain = oracle_.onChange(now());
      ++listVersion_;
      changed_.notify();
      co_await sched_.sleep(draw(3 * kSecond, 8 * kSecond));
      endpoint.isListed = true;
      endpoint.startedAt = now();
      endpoint.servesUntil = 2 * kHistoryLength;
      ++listVersion_;
      changed_.notify();
    }
  }

  // Faults of discovery.
  sched::Task<> injectOutages() {
    for (;;) {
      co_await sched_.sleep(draw(kSecond, 12 * kSecond));
      answer_ = static_cast<Answer>(draw(1, 3));
      oracle_.onReachable(answer_ != Answer::refuse, now());
      const bool wasRefusing = answer_ == Answer::refuse;
      // An outage ends the open watches, or leaves them open and silent.
      ++(wasRefusing || happens(0.5) ? outage_ : silence_);
      changed_.notify();
      co_await sched_.sleep(draw(kSecond / 2, 14 * kSecond));
      answer_ = Answer::watch;
      if (wasRefusing) oracle_.onReachable(true, now());
    }
  }
  sched::Task<> injectSilences() {
    for (;;) {
      co_await sched_.sleep(draw(kSecond, 15 * kSecond));
      ++silence_;
      changed_.notify();
    }
  }
  sched::Task<> reloadRepeatedly() {
    for (;;) {
      co_await sched_.sleep(happens(0.4) ? draw(kSecond / 2, 4 * kSecond) : draw(6 * kSecond, 15 * kSecond));
      const auto previous = address_;
      oracle_.onReloadSignal(now());
      ++address_;
      router_.onDiscoveryAddressChanged();
      sched_.spawn(closePreviousAddress(previous));
    }
  }
  sched::Task<> closePreviousAddress(int address) {
    co_await sched_.sleep(kPreviousAddressCloses);
    closedAddresses_ = std::max(closedAddresses_, address);
    changed_.notify();
  }

  // The instance's watch on discovery, as EndpointWatch keeps it.
  sched::Task<> pollDiscovery() {
    for (;;) {
      co_await router_.awaitListPollDue();
      const auto call = std::make_shared<Call>();
      call->address = address_;
      calls_[++lastCall_] = call;
      sched_.spawn(runCall(lastCall_, call));
    }
  }
  sched::Task<> runCall(int number, std::shared_ptr<Call> call) {
    co_await sched_.sleep(draw(0, 20 * kMillisecond));
    const auto answer = call->address < address_ ? Answer::refuse : answer_;
    if (answer == Answer::reject) co_await sched_.sleep(draw(0, 2 * kSecond), &call->superseded);
    if (answer == Answer::hang) co_await sched_.sleep(kPollTimeout, &call->superseded);
    auto end = answer == Answer::refuse ? CallEnd::connectionRefused : CallEnd::rejected;
    if (answer == Answer::watch) end = co_await watch(number, *call);
    const auto silence = answer == Answer::watch ? now() - call->lastReadAt : 0;
    if (call->superseded.isCancelled()) co_return;
    calls_.erase(number);
    router_.onListCallEnded({end, silence}, otherCalls(), calls_.empty());
  }
  sched::Task<CallEnd> watch(int number, Call &call) {
    const auto outage = outage_, silence = silence_;
    for (;;) {
      const bool isCurrent = call.address == address_;
      oracle_.onWritten(now(), isCurrent);
      const auto writtenAt = now();
      const auto written = list();
      const auto version = listVersion_;
      co_await sched_.sleep(draw(0, 30 * kMillisecond), &call.superseded);
      if (call.superseded.isCancelled()) co_return CallEnd::rejected;
      if (version >= appliedVersion_) router_.onEndpointUpdates(written, true);
      appliedVersion_ = std::max(appliedVersion_, version);
      call.hasMessage = true;
      call.lastReadAt = now();
      router_.onWatchMessage(call.address == address_ ? MessageSource::currentAddress
                                                      : MessageSource::previousAddress);
      supersedeOlderCalls(number);
      const sched::Deadline keepAlive{writtenAt + kKeepAlive, &call.superseded};
      auto woken = sched::WakeReason::notified;
      if (version == listVersion_) woken = co_await sched_.wait(changed_, keepAlive);
      const bool isClosed = outage != outage_ || call.address <= closedAddresses_;
      if (woken == sched::WakeReason::cancelled) co_return CallEnd::rejected;
      if (isClosed) co_return CallEnd::watchClosed;
      if (silence == silence_) continue;
      oracle_.onWatchSilent(writtenAt);
      const sched::Deadline closed{call.lastReadAt + kMaxWatchSilence, &call.superseded};
      while (woken == sched::WakeReason::notified && outage == outage_ && call.address > closedAddresses_)
        woken = co_await sched_.wait(changed_, closed);
      co_return woken == sched::WakeReason::timedOut ? CallEnd::watchSilent : CallEnd::watchClosed;
    }
  }
  void supersedeOlderCalls(int number) {
    while (!calls_.empty() && calls_.begin()->first < number) {
      calls_.begin()->second->superseded.cancel();
      calls_.erase(calls_.begin());
    }
  }
  OtherCalls otherCalls() const {
    auto out = OtherCalls::none;
    for (const auto &[number, call] : calls_)
      if (call->address == address_)
        out = std::max(out, call->hasMessage ? OtherCalls::watching : OtherCalls::unanswered);
    return out;
  }

  // Requests, attempts that wait for a connection, and an instance that is held up before it writes.
  sched::Task<> sendRequests() {
    const auto longestPause = draw(20 * kMillisecond, kSecond);
    for (std::uint64_t key = 1;; ++key) {
      co_await sched_.sleep(draw(0, longestPause));
      sched_.spawn(sendRequest(key));
    }
  }
  sched::Task<> sendRequest(std::uint64_t key) {
    ++requests;
    sched::CancellationToken notCancelled;
    RequestContext context(0, key, kSecond, false, now());
    auto decision = co_await router_.nextAttempt(context, notCancelled);
    bool wasForwarded = false;
    while (decision.action == AttemptDecision::forward) {
      if (happens(0.2)) co_await sched_.sleep(draw(0, kLongestConnect));
      auto outcome = Outcome::notSent;
      if (router_.isStillCurrent(context)) {
        if (happens(0.1)) co_await sched_.sleep(draw(0, kLongestHoldUp));
        auto &endpoint = *std::ranges::find(endpoints_, decision.endpoint->name, &Endpoint::name);
        checkWrite(endpoint);
        outcome = now() < endpoint.servesUntil ? Outcome::succeeded : Outcome::rejected;
        wasForwarded = true;
        co_await sched_.sleep(
            draw(kMillisecond, outcome == Outcome::succeeded ? kSecond / 5 : kSecond / 100));
      }
      decision = router_.onAttemptFinished(context, outcome);
    }
    forwarded += wasForwarded;
  }
  void checkWrite(const Endpoint &endpoint) {
    if (endpoint.isListed) return;
    const auto notified = oracle_.notifiedAt(endpoint.drain);
    if (notified == lab::kNeverNotified || now() <= notified + lab::kDrainGrace) return;
    if (late++ > 0) return;
    firstLate = endpoint.name + " at " + std::to_string(now() / kMillisecond) + " ms, notified at " +
                std::to_string(notified / kMillisecond) + " ms";
  }

  sched::Scheduler sched_{sched::Clock::simulated};
  std::mt19937 random_;
  Faults faults_;
  std::ostringstream logOutput_;
  log::LogOutput logs_{logOutput_, log::Format::text, {log::Level::error, {}}};
  log::Log log_ = logs_.forPackage("test");
  Router router_;
  lab::NotificationOracle oracle_;
  std::vector<Endpoint> endpoints_;
  sched::Event changed_;
  Answer answer_ = Answer::watch;
  int listVersion_ = 0, appliedVersion_ = 0; // of discovery, and of the instance
  int outage_ = 0, silence_ = 0, address_ = 1, closedAddresses_ = 0, lastCall_ = 0;
  std::map<int, std::shared_ptr<Call>> calls_;
};

void checkHistories(Faults faults, std::uint32_t count) {
  for (std::uint32_t seed = 1; seed <= count; ++seed) {
    History history(seed, faults);
    history.play();
    INFO("seed ", seed, ": ", history.late, " late writes, first to ", history.firstLate);
    CHECK(history.late == 0);
  }
}

} // namespace

TEST_CASE("an endpoint that drains while discovery is down is sent a request after the notification") {
  checkHistories(Faults::outages, 200);
}

TEST_CASE("an endpoint that drains while the watch is silent is sent a request after the notification") {
  checkHistories(Faults::silences, 200);
}

TEST_CASE("an endpoint that drains after SIGHUP is sent a request after the notification") {
  checkHistories(Faults::reloads, 200);
}

TEST_CASE("an endpoint that drains under several faults is sent a request after the notification") {
  checkHistories(Faults::all, 400);
}

TEST_CASE("requests are shed although the list is never in doubt") {
  History history(1, Faults::none);
  history.play();
  CHECK(history.late == 0);
  CHECK(100 * history.forwarded >= 95 * history.requests);
}
