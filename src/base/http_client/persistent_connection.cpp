#include "base/http_client/persistent_connection.h"

namespace myrtlehead::http_client {

using net::ErrorCode;
using net::Failure;
using net::SendProgress;

namespace {
constexpr net::Nanoseconds kAgain = 250'000'000; // between attempts to open the standing connection
constexpr int kPartForNew = 4; // of a call's time, one part so large goes to a new connection at most
constexpr std::size_t kMostAnswer = 64 * 1024;
} // namespace

// Guards the call that is out where the address changes: its answer may still come.
void PersistentConnection::leave() {
  if (connection_ == nullptr) return;
  connection_->left = true;
  if (connection_->pending.empty() || connection_->overdue) connection_->socket->shutdown();
  connection_ = nullptr;
}

void PersistentConnection::moveTo(net::Address to) {
  if (to == to_) return;
  to_ = to;
  moved_->cancel();
  moved_ = std::make_shared<sched::CancellationToken>();
  leave();
  closed_.notify();
}

void PersistentConnection::giveUp() {
  leave();
  closed_.notify();
}

// The new connection takes the place of the old one.
net::Task<ErrorCode> PersistentConnection::open(net::Deadline until) {
  const auto moved = moved_;
  until.cancellation = moved.get();
  auto connected = co_await net::connect(sched_, budget_, to_, until);
  if (moved->isCancelled()) co_return ErrorCode::cancelled;
  if (!connected) co_return connected.failure().cause;
  leave();
  connection_ = std::make_shared<Connection>();
  connection_->socket = std::move(*connected);
  sched_.spawn(readAnswers(connection_));
  co_return ErrorCode::none;
}

net::Task<> PersistentConnection::keepOpen() {
  for (;;) {
    if (!isOpen()) {
      const net::Deadline until{sched_.now() + 4 * kAgain, nullptr};
      const auto opened = co_await open(until);
      if (opened != ErrorCode::none && opened != ErrorCode::cancelled) co_await sched_.sleep(kAgain);
    }
    if (isOpen()) co_await sched_.wait(closed_);
  }
}

net::Task<net::Result<Response>> PersistentConnection::call(std::string request, net::Deadline until) {
  // Guards against a connection whose other end has vanished: after a call that was not answered a new one is
  // tried first. Where it does not come up soon, the old one may still carry the call.
  if (!isOpen() || connection_->overdue) {
    net::Deadline soon = until;
    if (isOpen()) soon.at = sched_.now() + (until.at - sched_.now()) / kPartForNew;
    auto opened = co_await open(soon);
    while (opened == ErrorCode::cancelled && !isOpen()) opened = co_await open(until); // at the new address
    if (!isOpen()) co_return Failure{opened == ErrorCode::none ? ErrorCode::connectionLost : opened};
  }
  const auto c = connection_;
  const auto pending = std::make_shared<Pending>();
  c->pending.push_back(pending);
  const auto written = co_await c->socket->write(request, until);
  if (written != ErrorCode::none) {
    c->ended = true; // half a call stands on it, and whoever reads there waits for nothing
    c->socket->shutdown();
    closed_.notify();
    co_return Failure{written, SendProgress::partlyWritten};
  }
  while (!pending->ended)
    // An answer may have come in the very round in which its time was up.
    if (co_await sched_.wait(pending->over, until) != sched::WakeReason::notified && !pending->ended) {
      c->overdue = true;
      if (c->left) c->socket->shutdown();
      co_return Failure{ErrorCode::timedOut, SendProgress::fullyWritten};
    }
  if (pending->failure.cause != ErrorCode::none) co_return pending->failure;
  co_return std::move(pending->answer);
}

net::Task<> PersistentConnection::readAnswers(std::shared_ptr<Connection> c) {
  net::Buffer buffer;
  for (;;) {
    Response answer;
    const auto cause = co_await readAnswer(*c, buffer, answer);
    if (cause != ErrorCode::none || c->pending.empty()) break; // an answer to nothing ends it, too
    const auto pending = c->pending.front();
    c->pending.pop_front();
    c->overdue = false;
    pending->answer = std::move(answer);
    pending->ended = true;
    pending->over.notify();
    if (c->left && c->pending.empty()) break;
  }
  c->ended = true;
  for (const auto &pending : c->pending) {
    pending->failure = {ErrorCode::connectionLost, SendProgress::fullyWritten};
    pending->ended = true;
    pending->over.notify();
  }
  c->pending.clear();
  closed_.notify();
}

net::Task<ErrorCode> PersistentConnection::readAnswer(Connection &c, net::Buffer &buffer, Response &out) {
  http::Head head;
  std::size_t size = 0;
  for (;;) {
    const auto parsed = http::parseAnswer(buffer.view(), head, size);
    if (parsed == http::Parsed::bad) co_return ErrorCode::unreadable;
    if (parsed == http::Parsed::whole) break;
    const auto cause = co_await c.socket->read(buffer, {});
    if (cause != ErrorCode::none) co_return cause;
  }
  buffer.consume(size);
  http::Body body(head);
  for (;;) {
    const auto parsed = body.take(buffer.view(), out.body, size);
    buffer.consume(size);
    if (parsed == http::Parsed::bad) co_return ErrorCode::unreadable;
    if (out.body.size() > kMostAnswer) co_return ErrorCode::tooLarge;
    if (parsed == http::Parsed::whole) break;
    const auto cause = co_await c.socket->read(buffer, {});
    if (cause == ErrorCode::closedByPeer && body.untilEnd()) break;
    if (cause != ErrorCode::none) co_return cause;
  }
  out.status = head.status;
  co_return ErrorCode::none;
}

} // namespace myrtlehead::http_client
