#include "lab/node.h"

#include "format/pg/message.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead::lab {

namespace {
constexpr Nanoseconds kDrainReactionTime = 250 * kMillisecond; // in which instances react to a drain
constexpr Nanoseconds kAttemptRateWindow = 200 * kMillisecond;
constexpr double kAttemptRateSlack = 2; // attempts in the window that are allowed beyond the budget
} // namespace

EmulatedNode::EmulatedNode(net::Scheduler &sched, net::DescriptorBudget &budget, const net::Address &address,
                           std::string name, int build, const ServiceModel &work, std::uint64_t seed,
                           EffectLedger &ledger, bool isCold)
    : sched_(sched), budget_(budget), address_(address), name_(std::move(name)), build_(build), work_(work),
      ledger_(ledger), random_(seed) {
  listener_ = net::listenTcp(sched_, budget_, address_);
  address_ = net::localAddress(*listener_);
  if (isCold && work_.warmupTime > 0) startedAt_ = sched_.now();
  stop_ = std::make_shared<sched::CancellationToken>();
  sched_.spawn(accept(stop_));
}

EmulatedNode::~EmulatedNode() { stop_->cancel(); }

void EmulatedNode::crash() {
  faults.isCrashed = true;
  stop_->cancel();
  listener_.reset();
}

void EmulatedNode::recover() {
  const bool hadCrashed = faults.isCrashed;
  faults = {};
  if (!hadCrashed) return;
  listener_ = net::listenTcp(sched_, budget_, address_);
  if (work_.warmupTime > 0) startedAt_ = sched_.now();
  stop_ = std::make_shared<sched::CancellationToken>();
  sched_.spawn(accept(stop_));
}

void EmulatedNode::onDrainEnded() {
  if (drainingSince_ != 0) ledger_.lastAttemptAfterDrain.push_back(lastAttemptAfter_);
  drainingSince_ = 0;
}

double EmulatedNode::warmupFraction() const {
  if (startedAt_ == 0) return 1;
  const double age = static_cast<double>(sched_.now() - startedAt_) / static_cast<double>(work_.warmupTime);
  return std::min(1.0, work_.warmupStartFraction + (1 - work_.warmupStartFraction) * age);
}

// Crashes a warming-up node that has exceeded its cold budget for the overload tolerance. It stays down until
// recover() is called.
void EmulatedNode::crashIfOverloaded() {
  if (warmupFraction() >= 1) return;
  const Nanoseconds now = sched_.now();
  recentAttempts_.push_back(now);
  while (!recentAttempts_.empty() && now - recentAttempts_.front() > kAttemptRateWindow)
    recentAttempts_.pop_front();
  const double capacity = warmupFraction() * work_.cores / (static_cast<double>(work_.meanServiceTime) / 1e9);
  const bool isOverloaded = static_cast<double>(recentAttempts_.size()) >
                            work_.coldBudgetMultiple * capacity * kAttemptRateWindow / 1e9 +
                                kAttemptRateSlack;
  if (!isOverloaded) overloadedSince_ = 0;
  if (isOverloaded && overloadedSince_ == 0) overloadedSince_ = now;
  if (!isOverloaded || now - overloadedSince_ < work_.overloadTolerance) return;
  ++ledger_.overloadedColdNodes;
  crash();
}

void EmulatedNode::countAttempt() {
  ++ledger_.attempts;
  ledger_.candidateAttempts += runsCandidateBuild;
  if (drainingSince_ == 0) return;
  const Nanoseconds after = sched_.now() - drainingSince_;
  lastAttemptAfter_ = after;
  ledger_.longestAfterDrain = std::max(ledger_.longestAfterDrain, after);
  ledger_.lateAttemptsToDraining += after > kDrainReactionTime;
}

bool EmulatedNode::recordEffect(const pg::Statement &statement) {
  if (statement.route == "read") return false;
  auto &effect = ledger_.effects[std::string(statement.id)];
  const bool isRepeat = statement.route == "write" && effect.runs > 0 &&
                        sched_.now() - effect.lastAttemptAt <= ledger_.idempotencyWindow;
  if (!isRepeat) ++effect.runs;
  effect.lastAttemptAt = sched_.now();
  return isRepeat;
}

net::Task<> EmulatedNode::accept(std::shared_ptr<sched::CancellationToken> stop) {
  while (!stop->isCancelled()) {
    auto socket = net::tryAccept(sched_, budget_, *listener_);
    if (socket) {
      sched_.spawn(session(std::move(*socket), stop));
      continue;
    }
    const net::Deadline until{sched::kNever, stop.get()};
    const auto error = co_await listener_->waitReadable(until);
    if (error == net::ErrorCode::cancelled) co_return;
  }
}

net::Task<bool> EmulatedNode::run(const pg::Statement &statement, std::string &out) {
  countAttempt();
  if (statement.route == "once") ledger_.arrivals[std::string(statement.id)] = sched_.now();
  crashIfOverloaded();
  std::uniform_real_distribution<double> uniform(0, 1);
  if (admitted_ - finished_ >= static_cast<std::uint64_t>(work_.cores + work_.maxQueueLength)) {
    pg::addError(out, {"ERROR", "53300", "the node's queue is full"});
    co_return true;
  }
  const auto position = admitted_++;
  while (position >= finished_ + static_cast<std::uint64_t>(work_.cores))
    co_await sched_.wait(requestFinished_);
  const bool isRepeat = recordEffect(statement);
  if (ledger_.countsRunsByRow && !isRepeat) ++ledger_.runsByRow[std::string(statement.rowKey)];
  std::lognormal_distribution<double> lognormal(-work_.serviceTimeSigma * work_.serviceTimeSigma / 2,
                                                std::max(work_.serviceTimeSigma, 1e-9));
  const double factor = (work_.serviceTimeSigma > 0 ? lognormal(random_) : 1) * faults.slowdown /
                        warmupFraction();
  if (!isRepeat)
    co_await sched_.sleep(static_cast<Nanoseconds>(static_cast<double>(work_.meanServiceTime) * factor));
  ++finished_;
  requestFinished_.notify();
  while (faults.isHanging) co_await sched_.sleep(10 * kMillisecond);
  if (uniform(random_) < faults.resetShare) co_return false;
  if (uniform(random_) < faults.errorShare) {
    pg::addError(out, {"ERROR", "XX000", "the node failed the request because of an injected fault"});
    co_return true;
  }
  pg::addRow(out, "v", name_ + " runs build " + std::to_string(build_));
  pg::addCommandComplete(out, statement.route == "read" ? "SELECT 1" : "INSERT 0 1");
  const auto waiting = admitted_ - finished_;
  pg::addMessage(out, 'S', std::string("load\0waiting=", 13) + std::to_string(waiting) + '\0');
  co_return true;
}

net::Task<> EmulatedNode::session(std::unique_ptr<net::Socket> socket,
                                  std::shared_ptr<sched::CancellationToken> stop) {
  const net::Deadline until{sched::kNever, stop.get()};
  net::Buffer buffer;
  pg::Startup startup;
  while (pg::parseStartup(buffer.view(), startup) == pg::ParseStatus::incomplete) {
    const auto error = co_await socket->read(buffer, until);
    if (error != net::ErrorCode::none) co_return;
  }
  buffer.consume(startup.size);
  std::string out;
  pg::addSessionStart(out, 1, 1);
  pg::addReadyForQuery(out);
  for (;;) {
    const auto written = co_await socket->write(out, until);
    if (written != net::ErrorCode::none) co_return;
    out.clear();
    pg::Message m;
    while (pg::parseMessage(buffer.view(), m) == pg::ParseStatus::incomplete) {
      const auto error = co_await socket->read(buffer, until);
      if (error != net::ErrorCode::none) co_return;
    }
    if (m.type != 'Q' || m.body.empty()) co_return;
    const std::string sql(m.body.substr(0, m.body.size() - 1));
    buffer.consume(m.size);
    if (sql.empty()) {
      pg::addEmptyQueryResponse(out);
    } else {
      const auto statement = pg::parseStatement(sql);
      const bool isAnswered = co_await run(statement, out);
      if (!isAnswered || stop->isCancelled()) co_return;
    }
    pg::addReadyForQuery(out);
  }
}

} // namespace myrtlehead::lab
