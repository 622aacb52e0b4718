#include "base/calls/line.h"

namespace myrtlehead::calls {

using net::Cause;
using net::Failure;
using net::Reach;

namespace {
constexpr net::Ns kAgain = 250'000'000; // between attempts to open the standing connection
constexpr int kPartForNew = 4; // of a call's time, one part so large goes to a new connection at most
constexpr std::size_t kMostAnswer = 64 * 1024;
} // namespace

// Guards the call that is out where the address changes: its answer may still come.
void Line::leave() {
  if (connection_ == nullptr) return;
  connection_->left = true;
  if (connection_->pending.empty() || connection_->overdue) connection_->socket->shutDown();
  connection_ = nullptr;
}

void Line::moveTo(net::Address to) {
  if (to == to_) return;
  to_ = to;
  moved_->request();
  moved_ = std::make_shared<sched::Stop>();
  leave();
  closed_.notify();
}

void Line::giveUp() {
  leave();
  closed_.notify();
}

// The new connection takes the place of the old one.
net::Task<Cause> Line::open(net::Until until) {
  const auto moved = moved_;
  until.stop = moved.get();
  auto connected = co_await net::connect(sched_, budget_, to_, until);
  if (moved->requested()) co_return Cause::stopped;
  if (!connected) co_return connected.failure().cause;
  leave();
  connection_ = std::make_shared<Connection>();
  connection_->socket = std::move(*connected);
  sched_.spawn(readAnswers(connection_));
  co_return Cause::none;
}

net::Task<> Line::keepOpen() {
  for (;;) {
    if (!isOpen()) {
      const net::Until until{sched_.now() + 4 * kAgain, nullptr};
      const auto opened = co_await open(until);
      if (opened != Cause::none && opened != Cause::stopped) co_await sched_.sleep(kAgain);
    }
    if (isOpen()) co_await sched_.wait(closed_);
  }
}

net::Task<net::Result<Answered>> Line::call(std::string request, net::Until until) {
  // Guards against a connection whose other end has vanished: after a call that was not answered a new one is
  // tried first. Where it does not come up soon, the old one may still carry the call.
  if (!isOpen() || connection_->overdue) {
    net::Until soon = until;
    if (isOpen()) soon.at = sched_.now() + (until.at - sched_.now()) / kPartForNew;
    auto opened = co_await open(soon);
    while (opened == Cause::stopped && !isOpen()) opened = co_await open(until); // at the new address
    if (!isOpen()) co_return Failure{opened == Cause::none ? Cause::broken : opened};
  }
  const auto c = connection_;
  const auto pending = std::make_shared<Pending>();
  c->pending.push_back(pending);
  const auto written = co_await c->socket->write(request, until);
  if (written != Cause::none) {
    c->ended = true; // half a call stands on it, and whoever reads there waits for nothing
    c->socket->shutDown();
    closed_.notify();
    co_return Failure{written, Reach::partlyWritten};
  }
  while (!pending->ended)
    // An answer may have come in the very round in which its time was up.
    if (co_await sched_.wait(pending->over, until) != sched::Woken::signalled && !pending->ended) {
      c->overdue = true;
      if (c->left) c->socket->shutDown();
      co_return Failure{Cause::timedOut, Reach::writtenWhole};
    }
  if (pending->failure.cause != Cause::none) co_return pending->failure;
  co_return std::move(pending->answer);
}

net::Task<> Line::readAnswers(std::shared_ptr<Connection> c) {
  net::Buffer buffer;
  for (;;) {
    Answered answer;
    const auto cause = co_await readAnswer(*c, buffer, answer);
    if (cause != Cause::none || c->pending.empty()) break; // an answer to nothing ends it, too
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
    pending->failure = {Cause::broken, Reach::writtenWhole};
    pending->ended = true;
    pending->over.notify();
  }
  c->pending.clear();
  closed_.notify();
}

net::Task<Cause> Line::readAnswer(Connection &c, net::Buffer &buffer, Answered &out) {
  http::Head head;
  std::size_t size = 0;
  for (;;) {
    const auto parsed = http::parseAnswer(buffer.view(), head, size);
    if (parsed == http::Parsed::bad) co_return Cause::unreadable;
    if (parsed == http::Parsed::whole) break;
    const auto cause = co_await c.socket->read(buffer, {});
    if (cause != Cause::none) co_return cause;
  }
  buffer.consume(size);
  http::Body body(head);
  for (;;) {
    const auto parsed = body.take(buffer.view(), out.body, size);
    buffer.consume(size);
    if (parsed == http::Parsed::bad) co_return Cause::unreadable;
    if (out.body.size() > kMostAnswer) co_return Cause::tooBig;
    if (parsed == http::Parsed::whole) break;
    const auto cause = co_await c.socket->read(buffer, {});
    if (cause == Cause::ended && body.untilEnd()) break;
    if (cause != Cause::none) co_return cause;
  }
  out.status = head.status;
  co_return Cause::none;
}

} // namespace myrtlehead::calls
