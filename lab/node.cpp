#include "lab/node.h"

#include "format/pg/message.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead::lab {

namespace {
constexpr Nanoseconds kDrainsWithin = 250 * kMillisecond, kPace = 200 * kMillisecond;
}

EmulatedNode::EmulatedNode(net::Scheduler &sched, net::DescriptorBudget &budget, const net::Address &at,
                           std::string name, int build, const Work &work, std::uint64_t seed, Ledger &ledger,
                           bool cold)
    : sched_(sched), budget_(budget), at_(at), name_(std::move(name)), build_(build), work_(work),
      ledger_(ledger), chance_(seed) {
  listener_ = net::listenTcp(sched_, budget_, at_);
  at_ = net::localAddress(*listener_);
  if (cold && work_.warmupTime > 0) started_ = sched_.now();
  stop_ = std::make_shared<sched::CancellationToken>();
  sched_.spawn(accept(stop_));
}

EmulatedNode::~EmulatedNode() { stop_->cancel(); }

void EmulatedNode::crash() {
  trouble.crashed = true;
  stop_->cancel();
  listener_.reset();
}

void EmulatedNode::recover() {
  const bool crashed = trouble.crashed;
  trouble = {};
  if (!crashed) return;
  listener_ = net::listenTcp(sched_, budget_, at_);
  if (work_.warmupTime > 0) started_ = sched_.now();
  stop_ = std::make_shared<sched::CancellationToken>();
  sched_.spawn(accept(stop_));
}

void EmulatedNode::undrained() {
  if (drainedAt_ != 0) ledger_.afterDrain.push_back(lastAfter_);
  drainedAt_ = 0;
}

double EmulatedNode::warmth() const {
  if (started_ == 0) return 1;
  const double age = static_cast<double>(sched_.now() - started_) / static_cast<double>(work_.warmupTime);
  return std::min(1.0, work_.warmupStartFraction + (1 - work_.warmupStartFraction) * age);
}

// A cold node that is sent too much for too long falls over and stays down.
void EmulatedNode::tip() {
  if (warmth() >= 1) return;
  const Nanoseconds now = sched_.now();
  lately_.push_back(now);
  while (!lately_.empty() && now - lately_.front() > kPace) lately_.pop_front();
  const double able = warmth() * work_.cores / (static_cast<double>(work_.mean) / 1e9);
  const bool tooMuch = static_cast<double>(lately_.size()) >
                       work_.coldBudgetMultiple * able * kPace / 1e9 + 2;
  if (!tooMuch) tooMuchSince_ = 0;
  if (tooMuch && tooMuchSince_ == 0) tooMuchSince_ = now;
  if (!tooMuch || now - tooMuchSince_ < work_.fallAfter) return;
  ++ledger_.fallen;
  crash();
}

void EmulatedNode::book(const pg::Statement &) {
  ++taken;
  ++ledger_.sends;
  ledger_.trialSends += onTrial;
  if (drainedAt_ == 0) return;
  const Nanoseconds after = sched_.now() - drainedAt_;
  lastAfter_ = after;
  ledger_.worstAfterDrain = std::max(ledger_.worstAfterDrain, after);
  ledger_.lateToDrained += after > kDrainsWithin;
}

// True: a repeat that the group's memory answers, without an effect.
bool EmulatedNode::again(const pg::Statement &statement) {
  if (statement.route == "read") return false;
  auto &effect = ledger_.effects[std::string(statement.id)];
  const bool known = statement.route == "write" && effect.runs > 0 &&
                     sched_.now() - effect.last <= ledger_.idempotencyWindow;
  if (!known) ++effect.runs;
  effect.last = sched_.now();
  return known;
}

net::Task<> EmulatedNode::accept(std::shared_ptr<sched::CancellationToken> stop) {
  while (!stop->isCancelled()) {
    auto socket = net::tryAccept(sched_, budget_, *listener_);
    if (socket) {
      sched_.spawn(session(std::move(*socket), stop));
      continue;
    }
    const net::Deadline until{sched::kNever, stop.get()};
    const auto cause = co_await listener_->waitReadable(until);
    if (cause == net::ErrorCode::cancelled) co_return;
  }
}

// One request on a core, after those before it. False: the connection is reset instead.
net::Task<bool> EmulatedNode::run(const pg::Statement &statement, std::string &out) {
  book(statement);
  tip();
  std::uniform_real_distribution<double> any(0, 1);
  if (next_ - finished_ >= static_cast<std::uint64_t>(work_.cores + work_.queue)) {
    pg::addError(out, {"ERROR", "53300", "the queue is full"});
    co_return true;
  }
  const auto place = next_++;
  while (place >= finished_ + static_cast<std::uint64_t>(work_.cores)) co_await sched_.wait(done_);
  const bool known = again(statement);
  if (ledger_.keepsRuns && !known) ++ledger_.runsOf[std::string(statement.record)];
  std::lognormal_distribution<double> drawn(-work_.spread * work_.spread / 2, std::max(work_.spread, 1e-9));
  const double factor = (work_.spread > 0 ? drawn(chance_) : 1) * trouble.slow / warmth();
  if (!known) co_await sched_.sleep(static_cast<Nanoseconds>(static_cast<double>(work_.mean) * factor));
  ++finished_;
  done_.notify();
  while (trouble.hangs) co_await sched_.sleep(10 * kMillisecond);
  if (any(chance_) < trouble.resets) co_return false;
  if (any(chance_) < trouble.errors) {
    pg::addError(out, {"ERROR", "XX000", "this node errs"});
    co_return true;
  }
  pg::addRow(out, "v", name_ + " runs build " + std::to_string(build_));
  pg::addComplete(out, statement.route == "read" ? "SELECT 1" : "INSERT 0 1");
  const auto waiting = next_ - finished_;
  pg::addMessage(out, 'S', std::string("load\0waiting=", 13) + std::to_string(waiting) + '\0');
  co_return true;
}

net::Task<> EmulatedNode::session(std::unique_ptr<net::Socket> socket,
                                  std::shared_ptr<sched::CancellationToken> stop) {
  const net::Deadline until{sched::kNever, stop.get()};
  net::Buffer buffer;
  pg::Startup startup;
  while (pg::parseStartup(buffer.view(), startup) == pg::Parsed::more) {
    const auto cause = co_await socket->read(buffer, until);
    if (cause != net::ErrorCode::none) co_return;
  }
  buffer.consume(startup.size);
  std::string out;
  pg::addWelcome(out, 1, 1);
  pg::addReady(out);
  for (;;) {
    const auto written = co_await socket->write(out, until);
    if (written != net::ErrorCode::none) co_return;
    out.clear();
    pg::Message m;
    while (pg::parseMessage(buffer.view(), m) == pg::Parsed::more) {
      const auto cause = co_await socket->read(buffer, until);
      if (cause != net::ErrorCode::none) co_return;
    }
    if (m.type != 'Q' || m.body.empty()) co_return;
    const std::string sql(m.body.substr(0, m.body.size() - 1));
    buffer.consume(m.size);
    if (sql.empty()) {
      pg::addEmptyAnswer(out);
    } else {
      const auto statement = pg::parseStatement(sql);
      const bool stays = co_await run(statement, out);
      if (!stays || stop->isCancelled()) co_return;
    }
    pg::addReady(out);
  }
}

} // namespace myrtlehead::lab
