#include "clients/door.h"

#include "clients/session.h"

namespace myrtlehead::clients {

using net::Cause;

namespace {

constexpr int kKept = 4;               // one descriptor in so many stays with nodes and control connections
constexpr int kLast = 12;              // and one in so many is not even spent on refusing clients
constexpr Ns kStillOpen = kSec / 2;    // after the wish to end: a front may send on for a while
constexpr Ns kRetryAccept = kSec / 10; // where the machine has no descriptor left

net::Task<> session(Door &door, std::unique_ptr<net::Socket> socket, std::uint32_t number, bool stays) {
  Session session(door, std::move(socket), number);
  co_await session.run(stays);
}

} // namespace

Door::Door(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, nodes::Pool &pool,
           log::Log &log, net::Address listen, std::vector<std::string> routes, std::vector<Ns> routeTimeouts,
           std::size_t places)
    : sched_(sched), budget_(budget), marshal_(marshal), pool_(pool), log_(log), routes_(std::move(routes)),
      routeTimeouts_(std::move(routeTimeouts)), places_(std::max(places, 4 * pg::kMostBytes)),
      listener_(net::listenAt(sched, budget, listen)) {}

// Guards the descriptors that nodes and control connections need: the longest idle client goes for a new one.
// Where none is idle the new one is refused at once: in the backlog its req would wait for nobody.
bool Door::mayStay() {
  const bool enough = budget_.left() > budget_.most() / kKept;
  if (short_ ? budget_.left() > budget_.most() / (kKept - 1) : !enough) {
    short_ = !short_;
    log_.info(short_ ? "descriptors are short, idle clients are closed: " : "descriptors suffice again: ",
              budget_.left(), " left of ", budget_.most());
  }
  if (enough) return true;
  if (idle_.empty()) return false;
  idle_.front()->stopIdling();
  return true;
}

net::Task<> Door::accept() {
  while (!noMore_.requested()) {
    if (budget_.left() <= budget_.most() / kLast) {
      const net::Until soon{sched_.now() + kRetryAccept, &noMore_};
      co_await sched_.wait(budget_.freed, soon);
      continue;
    }
    auto accepted = net::acceptNow(sched_, budget_, *listener_);
    if (accepted) {
      const bool stays = mayStay();
      sched_.spawn(session(*this, std::move(*accepted), ++sessions_, stays));
    } else if (accepted.failure().cause == Cause::timedOut) {
      const net::Until until{sched::kNever, &noMore_};
      co_await listener_->readable(until);
    } else if (accepted.failure().cause == Cause::noDescriptor) {
      log_.warning("no descriptor left for a client");
      if (!pool_.closeOldestIdle() && !idle_.empty()) idle_.front()->stopIdling();
      co_await sched_.sleep(kRetryAccept, &noMore_);
    } else {
      co_await sched_.sleep(kMs, &noMore_); // that client has gone already
    }
  }
}

net::Task<> Door::close() {
  co_await sched_.sleep(kStillOpen);
  noMore_.request();
  listener_.reset();
  for (auto *session : all_) session->stopIdling();
  while (!all_.empty()) co_await sched_.wait(ended_);
}

} // namespace myrtlehead::clients
