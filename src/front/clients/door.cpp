#include "front/clients/door.h"

#include "front/clients/session.h"

namespace myrtlehead::clients {

using net::Cause;

namespace {

constexpr int kKept = 4;    // one descriptor in so many stays with nodes and control connections
constexpr int kForReqs = 3; // one part in so many of the descriptors is for clients' reqs, and for attempts
constexpr int kLast = 12;   // and one in so many is not even spent on refusing clients
constexpr Ns kRetryAccept = kSec / 10; // where the machine has no descriptor left
constexpr Ns kPartedLeast = kSec / 10; // for a client to see that it is parted with
constexpr Ns kNeeded =
    kSec / 4; // for a startup message to come, or another req, where one would be refused otherwise
constexpr Ns kIdleLeast = 2 * kSec; // a connection without an open req may be closed after this
constexpr Ns kIdleMost = 10 * kSec; // and is, after this, or at once if it has never asked anything
constexpr Ns kSweep = kSec / 4, kFaultSaid = kSec;
constexpr int kMostGone = 1000; // connections of the backlog that ended in it

net::Task<> run(std::unique_ptr<Session> session, bool stays) { co_await session->run(stays); }

} // namespace

Door::Door(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, nodes::Pool &pool,
           log::Log &log, net::Address listen, std::vector<std::string> routes, std::vector<Ns> routeTimeouts,
           std::size_t places)
    : sched_(sched), budget_(budget), marshal_(marshal), pool_(pool), log_(log), routes_(std::move(routes)),
      routeTimeouts_(std::move(routeTimeouts)), places_(std::max(places, 4 * pg::kMostBytes)),
      listener_(net::listenAt(sched, budget, listen)), admission_(budget.most() / kForReqs) {}

// Guards the descriptors that nodes and control connections need. Where nobody can be spared the new one is
// refused at once: in the backlog its req would wait for nobody.
bool Door::mayStay() {
  const bool enough = budget_.left() > budget_.most() / kKept;
  if (short_ ? budget_.left() > budget_.most() / (kKept - 1) : !enough) {
    short_ = !short_;
    log_.info(short_ ? "descriptors are short, idle clients are closed" : "descriptors suffice again",
              {{"left", budget_.left()}, {"of", budget_.most()}});
  }
  // Reqs take a third of the descriptors at most, so beyond that some connection has none and holds a place
  // that a client with one may be short of.
  const bool many = static_cast<int>(all_.size()) > budget_.most() / kForReqs;
  const bool room = (many || !enough) && makeRoom();
  return enough || room;
}

// Guards those that have a req against those that have none: whoever has been idle for as long as the
// protocol asks goes first, then who has not started, then whoever is idle, as a closed connection is opened
// again and a refused req is gone. Could harm where many clients ask by turns, each on its own connection:
// they connect anew.
bool Door::makeRoom() {
  const auto spare = [&](std::list<Session *> &from, Ns least) {
    if (from.empty() || sched_.now() - from.front()->since() < least) return false;
    from.front()->stopIdling();
    return true;
  };
  return spare(parted_, kPartedLeast) || spare(idle_, kIdleLeast) || spare(early_, kNeeded) ||
         spare(idle_, kNeeded);
}

// Guards descriptors and memory against clients that ask once, or never, and keep their connection.
net::Task<> Door::sweep() {
  for (;;) {
    co_await sched_.sleep(kSweep);
    for (auto it = idle_.begin(); it != idle_.end();) {
      auto *session = *it++; // it may leave the list
      const Ns idle = sched_.now() - session->since();
      if (idle >= (session->hasAsked() ? kIdleMost : kIdleLeast)) session->stopIdling();
    }
  }
}

// Guards the log against clients that are wrong by the thousand.
void Door::fault(std::string_view what) {
  ++faults_;
  if (sched_.now() - faultSaid_ < kFaultSaid) return;
  log_.warning("clients sent messages that can't be used", {{"count", faults_}, {"latest", what}});
  faults_ = 0;
  faultSaid_ = sched_.now();
}

// The session is in all lists from here on: whoever closes the door in this round finds it there.
void Door::take(std::unique_ptr<net::Socket> accepted) {
  const bool stays = mayStay();
  sched_.spawn(run(std::make_unique<Session>(*this, std::move(accepted), ++sessions_), stays));
}

net::Task<> Door::accept() {
  while (!noMore_.requested()) {
    if (budget_.left() <= budget_.most() / kLast) {
      makeRoom();
      const net::Until soon{sched_.now() + kRetryAccept, &noMore_};
      co_await sched_.wait(budget_.freed, soon);
      continue;
    }
    auto accepted = net::acceptNow(sched_, budget_, *listener_);
    if (accepted) {
      take(std::move(*accepted));
    } else if (accepted.failure().cause == Cause::timedOut) {
      const net::Until until{sched::kNever, &noMore_};
      co_await listener_->readable(until);
    } else if (accepted.failure().cause == Cause::noDescriptor) {
      log_.warning("no descriptor left for a client");
      if (!makeRoom()) pool_.closeOldestIdle();
      co_await sched_.sleep(kRetryAccept, &noMore_);
    } else {
      co_await sched_.sleep(kMs, &noMore_); // that client has gone already
    }
  }
}

// Guards reqs on connections that the machine has accepted and this marshal has not: closing the listener
// resets them. Where descriptors are short, those that end make room.
net::Task<> Door::emptyBacklog() {
  for (int gone = 0; gone < kMostGone;) {
    auto cause = Cause::noDescriptor;
    if (budget_.left() > budget_.most() / kLast) {
      auto accepted = net::acceptNow(sched_, budget_, *listener_);
      if (accepted) {
        take(std::move(*accepted));
        continue;
      }
      cause = accepted.failure().cause;
    }
    if (cause == Cause::timedOut) co_return;
    gone += cause != Cause::noDescriptor; // that client has gone already
    if (cause != Cause::noDescriptor) continue;
    endAll();
    const net::Until latest{closing_.restBy(), nullptr};
    const auto woken = co_await sched_.wait(budget_.freed, latest);
    if (woken != sched::Woken::signalled) co_return;
  }
}

void Door::endAll() {
  for (auto *session : all_) session->end();
}

net::Task<> Door::close() {
  closing_.asked(sched_.now());
  co_await sched_.sleep(closing_.closesAt() - sched_.now());
  noMore_.request();
  co_await emptyBacklog();
  listener_.reset(); // right behind the last look: what comes between the two is reset
  endAll();
  while (!all_.empty()) co_await sched_.wait(ended_);
}

} // namespace myrtlehead::clients
