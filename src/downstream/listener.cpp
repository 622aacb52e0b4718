#include "downstream/listener.h"

#include "downstream/client_session.h"

namespace myrtlehead::downstream {

using net::ErrorCode;

namespace {

// Parts of the descriptor budget, as divisors.
constexpr int kReserveDivisor = 4;         // stays with endpoints and control connections
constexpr int kSufficientDivisor = 3;      // so much must be available again to end a shortage
constexpr int kRequestCapacityDivisor = 3; // for clients' requests, and as much for attempts
constexpr int kLastReserveDivisor = 12;    // is not even spent on rejecting clients

constexpr Nanoseconds kAcceptRetryInterval = kSecond / 10; // where no descriptor is left
// How long a connection must have been in its list before it is closed for a new one.
constexpr Nanoseconds kMinClosingTime = kSecond / 10;      // for the client to see the connection's end
constexpr Nanoseconds kMinIdleTime = 2 * kSecond;          // as the protocol asks
constexpr Nanoseconds kMinTimeUnderShortage = kSecond / 4; // where the new one would be rejected otherwise
constexpr Nanoseconds kMaxIdleTime = 10 * kSecond;         // then it is closed in any case
constexpr Nanoseconds kMaxUnusedIdleTime = 2 * kSecond;    // likewise, where it has never been used
constexpr Nanoseconds kSweepInterval = kSecond / 4;
constexpr Nanoseconds kFaultLogInterval = kSecond;
constexpr int kMaxEndedInBacklog = 1000; // connections of the backlog that ended in it

net::Task<> runSession(std::unique_ptr<ClientSession> session, ConnectionDecision decision) {
  co_await session->run(decision);
}

} // namespace

Listener::Listener(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                   upstream::ConnectionPool &pool, log::Log &log, net::Address address,
                   std::vector<std::string> routes, std::vector<Nanoseconds> routeTimeouts,
                   std::size_t messageMemory)
    : sched_(sched), budget_(budget), router_(router), pool_(pool), log_(log), routes_(std::move(routes)),
      routeTimeouts_(std::move(routeTimeouts)), messageMemory_(std::max(messageMemory, 4 * pg::kMostBytes)),
      socket_(net::listenTcp(sched, budget, address)),
      pipeliningLimits_(budget.limit() / kRequestCapacityDivisor) {}

// Guards the descriptors that endpoints and control connections need. Where no connection can be closed for
// the new one, that is rejected at once: in the backlog its request would wait in vain.
bool Listener::hasDescriptorFor() {
  updateShortage();
  const bool isEnough = budget_.available() > budget_.limit() / kReserveDivisor;
  // Requests use a third of the descriptors at most, so beyond that some connection has none in flight, and
  // occupies a descriptor that a client with one may need.
  const bool isManyClients = static_cast<int>(all_.size()) > budget_.limit() / kRequestCapacityDivisor;
  const bool hasClosed = (isManyClients || !isEnough) && closeOneIdle() == Reclaim::closedOne;
  return isEnough || hasClosed;
}

// Logs the beginning and the end of a shortage, with a distance between the two.
void Listener::updateShortage() {
  const int divisor = isShortOfDescriptors_ ? kSufficientDivisor : kReserveDivisor;
  const bool isShort = budget_.available() <= budget_.limit() / divisor;
  if (isShort == isShortOfDescriptors_) return;
  isShortOfDescriptors_ = isShort;
  log_.info(isShort ? "descriptors are short, idle clients are closed" : "descriptors suffice again",
            {{"left", budget_.available()}, {"of", budget_.limit()}});
}

// Guards connections with a request against those without one: whoever has been idle for as long as the
// protocol asks goes first, then who has not used it yet, then whoever is idle, as a closed connection is
// opened again and a rejected request is lost. Could harm where many clients ask by turns, each on its own
// connection: they connect anew.
Listener::Reclaim Listener::closeOneIdle() {
  const auto closeFirstOf = [&](std::list<ClientSession *> &list, Nanoseconds minimumTime) {
    if (list.empty() || sched_.now() - list.front()->listedSince() < minimumTime) return false;
    list.front()->closeIdle();
    return true;
  };
  const bool hasClosed = closeFirstOf(closing_, kMinClosingTime) || closeFirstOf(idle_, kMinIdleTime) ||
                         closeFirstOf(unused_, kMinTimeUnderShortage) ||
                         closeFirstOf(idle_, kMinTimeUnderShortage);
  return hasClosed ? Reclaim::closedOne : Reclaim::nothingToClose;
}

// Guards descriptors and memory against clients that ask once, or never, and keep their connection.
net::Task<> Listener::sweepIdleConnections() {
  for (;;) {
    co_await sched_.sleep(kSweepInterval);
    for (auto it = idle_.begin(); it != idle_.end();) {
      auto *session = *it++; // closing it removes it from the list
      const Nanoseconds idleTime = sched_.now() - session->listedSince();
      if (idleTime >= (session->hasBeenUsed() ? kMaxIdleTime : kMaxUnusedIdleTime)) session->closeIdle();
    }
  }
}

// Guards the log against clients that send unusable commands by the thousand.
void Listener::countFault(std::string_view what) {
  ++unloggedFaults_;
  if (sched_.now() - faultsLoggedAt_ < kFaultLogInterval) return;
  log_.warning("clients sent messages that can't be used", {{"count", unloggedFaults_}, {"latest", what}});
  unloggedFaults_ = 0;
  faultsLoggedAt_ = sched_.now();
}

// The session is in the list of all from here on: a shutdown in the same round finds it there.
void Listener::startSession(std::unique_ptr<net::Socket> accepted) {
  const auto decision = hasDescriptorFor() ? ConnectionDecision::serve : ConnectionDecision::reject;
  auto session = std::make_unique<ClientSession>(*this, std::move(accepted), ++sessionCount_);
  sched_.spawn(runSession(std::move(session), decision));
}

net::Task<> Listener::acceptConnections() {
  while (!acceptEnd_.isCancelled()) {
    if (budget_.available() <= budget_.limit() / kLastReserveDivisor) {
      closeOneIdle();
      const net::Deadline retry{sched_.now() + kAcceptRetryInterval, &acceptEnd_};
      co_await sched_.wait(budget_.released, retry);
      continue;
    }
    auto accepted = net::tryAccept(sched_, budget_, *socket_);
    if (accepted) {
      startSession(std::move(*accepted));
    } else if (accepted.failure().cause == ErrorCode::timedOut) {
      const net::Deadline deadline{sched::kNever, &acceptEnd_};
      co_await socket_->waitReadable(deadline);
    } else if (accepted.failure().cause == ErrorCode::noDescriptorLeft) {
      log_.warning("no descriptor left for a client");
      if (closeOneIdle() == Reclaim::nothingToClose) pool_.closeOldestIdle();
      co_await sched_.sleep(kAcceptRetryInterval, &acceptEnd_);
    } else {
      co_await sched_.sleep(kMillisecond, &acceptEnd_); // that client has gone already
    }
  }
}

// Guards requests on connections that the system has accepted and this instance has not: closing the
// listening socket resets them. Where descriptors are short, sessions that end free some.
net::Task<> Listener::emptyBacklog() {
  for (int ended = 0; ended < kMaxEndedInBacklog;) {
    auto error = ErrorCode::noDescriptorLeft;
    if (budget_.available() > budget_.limit() / kLastReserveDivisor) {
      auto accepted = net::tryAccept(sched_, budget_, *socket_);
      if (accepted) {
        startSession(std::move(*accepted));
        continue;
      }
      error = accepted.failure().cause;
    }
    if (error == ErrorCode::timedOut) co_return;
    if (error != ErrorCode::noDescriptorLeft) {
      ++ended; // that client has gone already
      continue;
    }
    closeAllWhenAnswered();
    const net::Deadline deadline{shutdown_.partialMessageDeadline(), nullptr};
    const auto woken = co_await sched_.wait(budget_.released, deadline);
    if (woken != sched::WakeReason::notified) co_return;
  }
}

void Listener::closeAllWhenAnswered() {
  for (auto *session : all_) session->closeWhenAnswered();
}

net::Task<> Listener::shutDown() {
  shutdown_.begin(sched_.now());
  co_await sched_.sleep(shutdown_.acceptsUntil() - sched_.now());
  acceptEnd_.cancel();
  co_await emptyBacklog();
  socket_.reset(); // right behind the last look at the backlog: what arrives between the two is reset
  closeAllWhenAnswered();
  while (!all_.empty()) co_await sched_.wait(sessionEnded_);
}

} // namespace myrtlehead::downstream
