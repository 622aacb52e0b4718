#include "control/dns/query_client.h"

namespace myrtlehead::dns_discovery {

using dns_resolution::Mishap;
using net::ErrorCode;

namespace {
using sched::Nanoseconds;
constexpr Nanoseconds kIdle = 5'000'000'000; // a connection without a query
} // namespace

net::Task<Asked> askOverUdp(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address server,
                            const dns::Sent &sent, net::Deadline until) {
  Asked out;
  const auto socket = net::connectUdp(sched, budget, server);
  if (socket == nullptr || !socket->tryWrite(dns::writeQuery(sent))) {
    out.mishap = Mishap::unreachable;
    co_return out;
  }
  net::Buffer buffer;
  for (;;) {
    const auto cause = co_await socket->read(buffer, until);
    if (cause == ErrorCode::closedByPeer) continue; // an empty datagram
    if (cause != ErrorCode::none) {
      out.mishap = cause == ErrorCode::timedOut ? Mishap::timedOut : Mishap::unreachable;
      co_return out;
    }
    const auto reading = dns::readAnswer(buffer.view(), sent, out.message);
    buffer.consume(buffer.view().size());
    if (reading == dns::Reading::foreign) continue; // made up by another, or for an earlier query
    out.mishap = Mishap::unreadable;
    out.answered = reading != dns::Reading::unreadable;
    out.folded = reading == dns::Reading::folded;
    co_return out;
  }
}

net::Task<std::shared_ptr<TcpLine::Connection>> TcpLine::connection(net::Deadline until) {
  while (opening_) {
    const auto woken = co_await sched_.wait(openedOrNot_, until);
    if (woken != sched::WakeReason::notified) co_return nullptr;
  }
  if (open_ != nullptr) co_return open_;
  opening_ = true;
  auto connected = co_await net::connect(sched_, budget_, server_, until);
  opening_ = false;
  if (connected) {
    ++opened_;
    open_ = std::make_shared<Connection>();
    open_->socket = std::move(*connected);
    sched_.spawn(read(shared_from_this(), open_));
  }
  openedOrNot_.notify();
  co_return open_;
}

net::Task<Asked> TcpLine::ask(dns::Sent sent, net::Deadline until) {
  Pending pending;
  pending.asked.mishap = Mishap::unreachable;
  const auto c = co_await connection(until);
  if (c == nullptr) co_return pending.asked;
  while (c->pending.contains(sent.id)) ++sent.id; // at most as many as flights
  pending.sent = sent;
  auto query = dns::writeQuery(sent);
  const auto size = query.size();
  query.insert(query.begin(), {static_cast<char>(size >> 8), static_cast<char>(size & 0xff)});
  c->pending[sent.id] = &pending;
  // Written at once or not at all: half a query would spoil those behind it.
  if (!c->socket->tryWrite(query)) close(*c, Mishap::broken);
  if (!pending.over) {
    const auto woken = co_await sched_.wait(pending.done, until);
    if (woken != sched::WakeReason::notified) {
      c->pending.erase(sent.id);
      pending.asked.mishap = Mishap::timedOut;
      // Guards against one that hangs: the next query takes a new connection.
      if (open_ == c) open_ = nullptr;
      if (c->pending.empty()) c->closed.cancel();
    }
  }
  co_return pending.asked;
}

void TcpLine::close(Connection &c, Mishap why) {
  c.closed.cancel();
  if (open_.get() == &c) open_ = nullptr;
  for (auto &[id, pending] : c.pending) {
    pending->over = true;
    pending->asked.mishap = why;
    pending->done.notify();
  }
  c.pending.clear();
}

// One message from the front of the buffer; false: there is none whole, or the connection is of no more use.
bool TcpLine::take(Connection &c) {
  const auto view = c.buffer.view();
  if (view.size() < 2) return false;
  const std::size_t size = static_cast<unsigned char>(view[0]) << 8 | static_cast<unsigned char>(view[1]);
  if (view.size() < size + 2) return false;
  const auto bytes = view.substr(2, size);
  const auto id = size >= 2 ? static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                                         static_cast<unsigned char>(bytes[1]))
                            : std::uint16_t{0};
  const auto it = c.pending.find(id);
  if (it != c.pending.end()) {
    auto &p = *it->second;
    const auto reading = dns::readAnswer(bytes, p.sent, p.asked.message);
    if (reading != dns::Reading::foreign) {
      p.asked.answered = reading != dns::Reading::unreadable;
      p.asked.folded = reading == dns::Reading::folded;
      p.asked.mishap = Mishap::unreadable;
      p.over = true;
      p.done.notify();
      c.pending.erase(it);
    }
  }
  c.buffer.consume(size + 2);
  return true;
}

// Holds the line: it may be given up before its connection has ended.
net::Task<> TcpLine::read(std::shared_ptr<TcpLine> line, std::shared_ptr<Connection> c) {
  for (;;) {
    while (line->take(*c)) {}
    const Nanoseconds idleEnd = line->sched_.now() + kIdle;
    const net::Deadline until{idleEnd, &c->closed};
    const auto cause = co_await c->socket->read(c->buffer, until);
    if (cause == ErrorCode::none) continue;
    if (cause == ErrorCode::timedOut && !c->pending.empty()) continue;
    line->close(*c, Mishap::broken);
    co_return;
  }
}

} // namespace myrtlehead::dns_discovery
