#include "downstream/listener.h"

#include "downstream/client_session.h"
#include "policy/message_memory.h"

#include <algorithm>
#include <new>

namespace myrtlehead::downstream {

using net::ErrorCode;

namespace {

constexpr Nanoseconds kAcceptRetryInterval = kSecond / 10;   // while no descriptor is free
constexpr Nanoseconds kBacklogRetryInterval = kSecond / 100; // the same during a shutdown
constexpr Nanoseconds kSweepInterval = kSecond / 4;
constexpr Nanoseconds kEventLogInterval = kSecond;
constexpr Nanoseconds kReclaimInterval = 5 * kMillisecond; // between connections closed for their memory
constexpr int kMaxBacklogFailures = 1000; // backlog connections that their clients have closed already

net::Task<> runSession(std::unique_ptr<ClientSession> session, ConnectionDecision decision) {
  co_await session->run(decision);
}

} // namespace

Listener::Listener(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                   upstream::ConnectionPool &pool, log::Log &log, net::Address address,
                   std::vector<std::string> routes, std::vector<Nanoseconds> routeTimeouts,
                   std::size_t messageMemory)
    : sched_(sched), budget_(budget), router_(router), pool_(pool), log_(log), routes_(std::move(routes)),
      routeTimeouts_(std::move(routeTimeouts)),
      messageMemory_(std::max(messageMemory, 4 * pg::kMaxClientMessageBytes)),
      maxMemoryWait_(message_memory::maxWait(routeTimeouts_)),
      socket_(net::listenTcp(sched, budget, address)),
      pipeliningLimits_(connection_limits::requestCapacity(budget.limit())) {
  pool_.reclaimAnswerMemory = [this] { return reclaimAnswerMemory(); };
}

Listener::~Listener() { pool_.reclaimAnswerMemory = nullptr; }

// Returns whether a connection that was just accepted can be served, and closes an idle one for it if needed.
// Part of the descriptors is kept free for endpoint and control connections. If no connection can be closed
// for the new one, the new one is rejected at once: left in the backlog, its request would time out.
bool Listener::ensureDescriptorForConnection() {
  updateShortage();
  const bool hasReserve = connection_limits::hasReserve(descriptors());
  const bool hasManyClients = connection_limits::hasManyClients(sessions_.size(), budget_.limit());
  const bool hasClosedIdle = (hasManyClients || !hasReserve) && closeOneIdle() == Reclaim::closedOne;
  return hasReserve || hasClosedIdle;
}

// Logs the start and the end of a descriptor shortage.
void Listener::updateShortage() {
  const bool isShort = connection_limits::isShort(isShortOfDescriptors_, descriptors());
  if (isShort == isShortOfDescriptors_) return;
  isShortOfDescriptors_ = isShort;
  log_.info(isShort ? "few file descriptors are free; closing idle client connections"
                    : "enough file descriptors are free again",
            {{"left", budget_.available()}, {"of", budget_.limit()}});
}

// Closes one connection without a request, so that a client with a request is not rejected: a client reopens
// a closed connection, but a rejected request is lost. Closing connections are preferred, then connections
// that have been idle for the time the protocol requires, then unused ones, then those whose client has
// stopped inside a message, then any idle one. Limitation: if
// many clients send requests in turn, each on its own connection, they often have to reconnect.
Listener::Reclaim Listener::closeOneIdle() {
  for (const auto &step : connection_limits::reclaimOrder()) {
    const auto &sessions = sessionsIn(step.group);
    if (sessions.empty() || sched_.now() - sessions.front()->inGroupSince() < step.minTime) continue;
    sessions.front()->closeIdle();
    return Reclaim::closedOne;
  }
  return Reclaim::nothingToClose;
}

// Frees the descriptors and memory of clients that send one request, or none, and keep their connection open.
net::Task<> Listener::sweepIdleConnections() {
  for (;;) {
    co_await sched_.sleep(kSweepInterval);
    auto &idle = sessionsIn(connection_limits::ReclaimGroup::idle);
    for (auto it = idle.begin(); it != idle.end();) {
      auto *session = *it++; // closeIdle() removes the session from the list
      const Nanoseconds idleTime = sched_.now() - session->inGroupSince();
      if (idleTime >= connection_limits::maxIdleTime(session->use())) session->closeIdle();
    }
  }
}

net::Task<> Listener::probeUnreadClients() {
  for (;;) {
    co_await sched_.sleep(connection_limits::kProbeInterval);
    for (auto *session : sessions_) session->probeIfUnread();
  }
}

Listener::Usage Listener::usage() const {
  const auto requests = static_cast<std::size_t>(pipeliningLimits_.admittedCount()) +
                        pipeliningLimits_.waitingCount();
  return {sessions_.size(), requests, messageMemory_.capacity() - messageMemory_.available(),
          pool_.reservedAnswerBytes()};
}

Nanoseconds Listener::reclaimMessageMemory() {
  const auto slowest = std::ranges::min_element(sessions_, {}, &ClientSession::memoryReclaimableAt);
  if (slowest == sessions_.end()) return sched::kNever;
  const auto reclaimableAt = (*slowest)->memoryReclaimableAt();
  if (reclaimableAt <= sched_.now()) (*slowest)->discardPartialMessage();
  return reclaimableAt;
}

Nanoseconds Listener::reclaimAnswerMemory() {
  const auto slowest = std::ranges::min_element(sessions_, {}, &ClientSession::answerMemoryReclaimableAt);
  if (slowest == sessions_.end()) return sched::kNever;
  const auto reclaimableAt = (*slowest)->answerMemoryReclaimableAt();
  if (reclaimableAt > sched_.now()) return reclaimableAt;
  (*slowest)->abortConnection(); // its task releases the memory
  countEvent(unreadAnswers_, "connections closed: their clients did not read large answers",
             std::to_string((sched_.now() - reclaimableAt) / kMillisecond) + " ms over the limit");
  return sched_.now() + kReclaimInterval;
}

// Logs at most one line per interval, as a client may send thousands of invalid messages.
void Listener::countEvent(UnloggedEvents &events, std::string_view message, std::string_view latest) {
  ++events.count;
  if (events.loggedAt != 0 && sched_.now() - events.loggedAt < kEventLogInterval) return;
  log_.warning(message, {{"count", events.count}, {"latest", latest}});
  events = {0, sched_.now()};
}

void Listener::countClientError(std::string_view what) {
  countEvent(clientErrors_, "clients sent invalid or unsupported messages", what);
}

void Listener::countRefusal() {
  countEvent(refusals_, "large messages refused: the memory for them is in use",
             std::to_string(messageMemory_.available()) + " bytes free");
}

// Adds the session to sessions_ before its coroutine runs, so that a shutdown in the same scheduler round
// finds it. A connection for which there is no memory is closed, and further ones are accepted.
void Listener::startSession(std::unique_ptr<net::Socket> accepted) try {
  const auto decision = ensureDescriptorForConnection() ? ConnectionDecision::serve
                                                        : ConnectionDecision::reject;
  auto session = std::make_unique<ClientSession>(*this, std::move(accepted), ++sessionCount_);
  sched_.spawn(runSession(std::move(session), decision));
} catch (const std::bad_alloc &) {
  log_.error("a client connection was closed: no memory for it");
}

net::Task<> Listener::acceptConnections() {
  while (!acceptStop_.isCancelled()) {
    if (!connection_limits::mayAccept(descriptors())) {
      closeOneIdle();
      const net::Deadline retry{sched_.now() + kAcceptRetryInterval, &acceptStop_};
      co_await sched_.wait(budget_.released, retry);
      continue;
    }
    auto accepted = net::tryAccept(sched_, budget_, *socket_);
    if (accepted) {
      startSession(std::move(*accepted));
    } else if (accepted.failure().cause == ErrorCode::timedOut) {
      const net::Deadline deadline{sched::kNever, &acceptStop_};
      co_await socket_->waitReadable(deadline);
    } else if (accepted.failure().cause == ErrorCode::noDescriptorLeft) {
      log_.warning("cannot accept a client connection: no file descriptor left");
      if (closeOneIdle() == Reclaim::nothingToClose) pool_.closeOldestIdle();
      co_await sched_.sleep(kAcceptRetryInterval, &acceptStop_);
    } else {
      co_await sched_.sleep(kMillisecond, &acceptStop_); // the client has closed the connection already
    }
  }
}

// Accepts the connections that the kernel has accepted and this instance has not: closing the listening
// socket would reset them. During a descriptor shortage it waits for sessions that end and free their
// descriptors.
net::Task<> Listener::acceptBacklog() {
  for (int failures = 0; failures < kMaxBacklogFailures;) {
    auto error = ErrorCode::noDescriptorLeft;
    if (connection_limits::mayAccept(descriptors())) {
      auto accepted = net::tryAccept(sched_, budget_, *socket_);
      if (accepted) {
        startSession(std::move(*accepted));
        continue;
      }
      error = accepted.failure().cause;
    }
    if (error == ErrorCode::timedOut) co_return;
    if (error != ErrorCode::noDescriptorLeft) {
      ++failures; // the client has closed the connection already
      continue;
    }
    closeAllWhenAnswered();
    // A shortage of the system itself ends without a release of this process.
    const auto until = std::min(shutdown_.partialMessageDeadline(), sched_.now() + kBacklogRetryInterval);
    co_await sched_.wait(budget_.released, {until, nullptr});
    if (sched_.now() >= shutdown_.partialMessageDeadline()) co_return;
  }
}

void Listener::closeAllWhenAnswered() {
  for (auto *session : sessions_) session->closeWhenAnswered();
}

net::Task<> Listener::shutDown() {
  shutdown_.begin(sched_.now());
  co_await sched_.sleep(shutdown_.acceptDeadline() - sched_.now());
  acceptStop_.cancel();
  co_await acceptBacklog();
  // Directly after the last check of the backlog, because a connection that arrives in between is reset.
  socket_.reset();
  closeAllWhenAnswered();
  while (!sessions_.empty()) co_await sched_.wait(sessionEnded_);
}

} // namespace myrtlehead::downstream
