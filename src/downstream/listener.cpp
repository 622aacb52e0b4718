#include "downstream/listener.h"

#include "downstream/client_session.h"

namespace myrtlehead::downstream {

using net::ErrorCode;

namespace {

constexpr int kKept = 4; // one descriptor in so many stays with endpoints and control connections
constexpr int kForReqs =
    3;                    // one part in so many of the descriptors is for clients' requests, and for attempts
constexpr int kLast = 12; // and one in so many is not even spent on refusing clients
constexpr Nanoseconds kRetryAccept = kSecond / 10; // where the machine has no descriptor left
constexpr Nanoseconds kPartedLeast = kSecond / 10; // for a client to see that it is parted with
constexpr Nanoseconds kNeeded =
    kSecond / 4; // for a startup message to come, or another request, where one would be refused otherwise
constexpr Nanoseconds kIdleLeast = 2 *
                                   kSecond; // a connection without an open request may be closed after this
constexpr Nanoseconds kIdleMost = 10 *
                                  kSecond; // and is, after this, or at once if it has never asked anything
constexpr Nanoseconds kSweep = kSecond / 4, kFaultSaid = kSecond;
constexpr int kMostGone = 1000; // connections of the backlog that ended in it

net::Task<> run(std::unique_ptr<ClientSession> session, bool stays) { co_await session->run(stays); }

} // namespace

Listener::Listener(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                   upstream::ConnectionPool &pool, log::Log &log, net::Address listen,
                   std::vector<std::string> routes, std::vector<Nanoseconds> routeTimeouts,
                   std::size_t places)
    : sched_(sched), budget_(budget), router_(router), pool_(pool), log_(log), routes_(std::move(routes)),
      routeTimeouts_(std::move(routeTimeouts)), places_(std::max(places, 4 * pg::kMostBytes)),
      socket_(net::listenTcp(sched, budget, listen)), pipeliningLimits_(budget.limit() / kForReqs) {}

// Guards the descriptors that endpoints and control connections need. Where nobody can be spared the new one
// is refused at once: in the backlog its request would wait for nobody.
bool Listener::mayStay() {
  const bool enough = budget_.available() > budget_.limit() / kKept;
  if (short_ ? budget_.available() > budget_.limit() / (kKept - 1) : !enough) {
    short_ = !short_;
    log_.info(short_ ? "descriptors are short, idle clients are closed" : "descriptors suffice again",
              {{"left", budget_.available()}, {"of", budget_.limit()}});
  }
  // Requests take a third of the descriptors at most, so beyond that some connection has none and holds a
  // place that a client with one may be short of.
  const bool many = static_cast<int>(all_.size()) > budget_.limit() / kForReqs;
  const bool room = (many || !enough) && makeRoom();
  return enough || room;
}

// Guards those that have a request against those that have none: whoever has been idle for as long as the
// protocol asks goes first, then who has not started, then whoever is idle, as a closed connection is opened
// again and a refused request is gone. Could harm where many clients ask by turns, each on its own
// connection: they connect anew.
bool Listener::makeRoom() {
  const auto spare = [&](std::list<ClientSession *> &from, Nanoseconds least) {
    if (from.empty() || sched_.now() - from.front()->since() < least) return false;
    from.front()->stopIdling();
    return true;
  };
  return spare(parted_, kPartedLeast) || spare(idle_, kIdleLeast) || spare(early_, kNeeded) ||
         spare(idle_, kNeeded);
}

// Guards descriptors and memory against clients that ask once, or never, and keep their connection.
net::Task<> Listener::sweep() {
  for (;;) {
    co_await sched_.sleep(kSweep);
    for (auto it = idle_.begin(); it != idle_.end();) {
      auto *session = *it++; // it may leave the list
      const Nanoseconds idle = sched_.now() - session->since();
      if (idle >= (session->hasAsked() ? kIdleMost : kIdleLeast)) session->stopIdling();
    }
  }
}

// Guards the log against clients that are wrong by the thousand.
void Listener::fault(std::string_view what) {
  ++faults_;
  if (sched_.now() - faultSaid_ < kFaultSaid) return;
  log_.warning("clients sent messages that can't be used", {{"count", faults_}, {"latest", what}});
  faults_ = 0;
  faultSaid_ = sched_.now();
}

// The session is in all lists from here on: whoever closes the door in this round finds it there.
void Listener::take(std::unique_ptr<net::Socket> accepted) {
  const bool stays = mayStay();
  sched_.spawn(run(std::make_unique<ClientSession>(*this, std::move(accepted), ++sessions_), stays));
}

net::Task<> Listener::accept() {
  while (!noMore_.isCancelled()) {
    if (budget_.available() <= budget_.limit() / kLast) {
      makeRoom();
      const net::Deadline soon{sched_.now() + kRetryAccept, &noMore_};
      co_await sched_.wait(budget_.released, soon);
      continue;
    }
    auto accepted = net::tryAccept(sched_, budget_, *socket_);
    if (accepted) {
      take(std::move(*accepted));
    } else if (accepted.failure().cause == ErrorCode::timedOut) {
      const net::Deadline until{sched::kNever, &noMore_};
      co_await socket_->waitReadable(until);
    } else if (accepted.failure().cause == ErrorCode::noDescriptorLeft) {
      log_.warning("no descriptor left for a client");
      if (!makeRoom()) pool_.closeOldestIdle();
      co_await sched_.sleep(kRetryAccept, &noMore_);
    } else {
      co_await sched_.sleep(kMillisecond, &noMore_); // that client has gone already
    }
  }
}

// Guards requests on connections that the machine has accepted and this instance has not: closing the
// listener resets them. Where descriptors are short, those that end make room.
net::Task<> Listener::emptyBacklog() {
  for (int gone = 0; gone < kMostGone;) {
    auto cause = ErrorCode::noDescriptorLeft;
    if (budget_.available() > budget_.limit() / kLast) {
      auto accepted = net::tryAccept(sched_, budget_, *socket_);
      if (accepted) {
        take(std::move(*accepted));
        continue;
      }
      cause = accepted.failure().cause;
    }
    if (cause == ErrorCode::timedOut) co_return;
    gone += cause != ErrorCode::noDescriptorLeft; // that client has gone already
    if (cause != ErrorCode::noDescriptorLeft) continue;
    endAll();
    const net::Deadline latest{shutdown_.partialMessageDeadline(), nullptr};
    const auto woken = co_await sched_.wait(budget_.released, latest);
    if (woken != sched::WakeReason::notified) co_return;
  }
}

void Listener::endAll() {
  for (auto *session : all_) session->end();
}

net::Task<> Listener::close() {
  shutdown_.begin(sched_.now());
  co_await sched_.sleep(shutdown_.acceptsUntil() - sched_.now());
  noMore_.cancel();
  co_await emptyBacklog();
  socket_.reset(); // right behind the last look: what comes between the two is reset
  endAll();
  while (!all_.empty()) co_await sched_.wait(ended_);
}

} // namespace myrtlehead::downstream
