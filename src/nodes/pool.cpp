#include "nodes/pool.h"

#include "pg/message.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace myrtlehead::nodes {

using net::Cause;
using net::Failure;
using net::Reach;

namespace {

constexpr int kControlShare = 16; // descriptors kept for calls on discovery and the platform

// The next message of a connection, at the front of its buffer until it is consumed.
net::Task<Failure> nextMessage(net::Socket &socket, net::Buffer &buffer, net::Until until, Reach reach,
                               pg::Message &out) {
  for (;;) {
    const auto parsed = pg::parseMessage(buffer.view(), out);
    if (parsed == pg::Parsed::whole) co_return Failure{};
    if (parsed == pg::Parsed::bad) co_return Failure{Cause::unreadable, reach};
    const auto cause = co_await socket.read(buffer, until);
    if (cause != Cause::none)
      co_return Failure{cause, buffer.empty() ? reach : std::max(reach, Reach::answering)};
  }
}

} // namespace

Outcome outcomeOf(const Failure &failure) {
  const bool written = failure.reach == Reach::writtenWhole || failure.reach == Reach::answering;
  if (failure.cause == Cause::noDescriptor) return Outcome::notSent; // no fault of the node's
  if (failure.cause == Cause::stopped) return written ? Outcome::cancelled : Outcome::notSent;
  if (!written) return Outcome::unreachable;
  return failure.cause == Cause::timedOut ? Outcome::timedOut : Outcome::reset;
}

std::vector<float> readLoads(std::string_view text, const std::vector<std::string> &names) {
  std::vector<float> out(names.size(), std::nanf(""));
  while (!text.empty()) {
    const auto end = std::min(text.find(','), text.size());
    const auto item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto eq = std::min(item.find('='), item.size());
    const auto at = std::find(names.begin(), names.end(), item.substr(0, eq));
    if (at == names.end() || eq == item.size()) continue;
    const auto word = item.substr(eq + 1);
    float value = 0;
    const auto r = std::from_chars(word.data(), word.data() + word.size(), value);
    if (r.ec == std::errc{} && r.ptr == word.data() + word.size())
      out[static_cast<std::size_t>(at - names.begin())] = value;
  }
  return out;
}

net::Task<Tried> Pool::attempt(const Target &target, const pg::Statement &statement, net::Until until,
                               std::function<bool()> meant) {
  Tried out;
  Held c = take(target);
  if (c == nullptr) {
    auto opened = co_await open(target, until);
    if (!opened) {
      const bool full = opened.failure().cause == Cause::refused &&
                        opened.failure().reach == Reach::answering;
      out.outcome = full ? Outcome::turnedAway : outcomeOf(opened.failure());
      co_return out;
    }
    c = std::move(*opened);
  }
  // Guards against writing to a node that was listed otherwise while the connection came up.
  if (!meant()) {
    keep(target, std::move(c));
    out.outcome = Outcome::notSent;
    co_return out;
  }
  std::string query;
  pg::addQuery(query,
               pg::withPatience(statement, std::max<Ns>((until.at - sched_.now() + kMs - 1) / kMs, 1)));
  const auto failure = co_await exchange(*c, std::move(query), until, out);
  if (failure.cause != Cause::none)
    out.outcome = outcomeOf(failure);
  else
    keep(target, std::move(c));
  co_return out;
}

net::Task<net::Result<Pool::Held>> Pool::open(const Target &target, net::Until until) {
  const auto address = net::parseAddress(target.address);
  if (!address) co_return Failure{Cause::refused};
  until.at = std::min(until.at, sched_.now() + connectWithin_);
  if (budget_.left() <= kControlShare && !closeOldestIdle()) co_return Failure{Cause::noDescriptor};
  auto connected = co_await net::connect(sched_, budget_, *address, until);
  if (!connected) co_return connected.failure();
  auto c = std::make_unique<Connection>();
  c->changes = target.changes;
  c->socket = std::move(*connected);
  const auto failure = co_await welcome(*c, until);
  if (failure.cause != Cause::none) co_return failure;
  co_return std::move(c);
}

// From the startup message to the first ReadyForQuery. Refused at `answering`: the node has said no.
net::Task<Failure> Pool::welcome(Connection &c, net::Until until) {
  std::string startup;
  pg::addStartup(startup, "svc", "main");
  const auto cause = co_await c.socket->write(startup, until);
  if (cause != Cause::none) co_return Failure{cause};
  for (;;) {
    pg::Message m;
    auto failure = co_await nextMessage(*c.socket, c.buffer, until, Reach::unconnected, m);
    failure.reach = Reach::unconnected; // nothing of the req has been written
    if (failure.cause != Cause::none) co_return failure;
    const char type = m.type;
    const bool admitted = type != 'R' || m.body == std::string_view("\0\0\0\0", 4);
    const auto code = type == 'E' ? pg::errorCode(m.body) : "";
    if (code == "53300" || code == "57P03") co_return Failure{Cause::refused, Reach::answering};
    if (type == 'E' || !admitted) co_return Failure{Cause::refused};
    c.buffer.consume(m.size);
    if (type == 'Z') co_return Failure{};
  }
}

// The statement is written and its answer read, up to ReadyForQuery if that has come along.
net::Task<Failure> Pool::exchange(Connection &c, std::string query, net::Until until, Tried &out) {
  const auto written = co_await c.socket->write(query, until);
  if (written != Cause::none) co_return Failure{written, Reach::partlyWritten};
  bool over = false;
  while (!over) {
    pg::Message m;
    const auto failure = co_await nextMessage(*c.socket, c.buffer, until, Reach::writtenWhole, m);
    if (failure.cause != Cause::none) co_return failure;
    if (m.type == 'S') {
      readParameter(m.body, out);
    } else if (m.type == 'T' || m.type == 'D' || m.type == 'C') {
      out.answer += c.buffer.view().substr(0, m.size);
      over = m.type == 'C';
      if (over) out.outcome = Outcome::completed;
    } else if (m.type == 'E') {
      over = true;
      out.outcome = pg::errorCode(m.body) == "53300" ? Outcome::turnedAway : Outcome::errored;
    } else if (m.type != 'N') {
      co_return Failure{Cause::unreadable, Reach::answering};
    }
    c.buffer.consume(m.size);
  }
  // The load report stands between the answer and ReadyForQuery. What has not come along is read later.
  c.settled = false;
  settle(c, &out);
  co_return Failure{};
}

void Pool::readParameter(std::string_view body, Tried &out) {
  std::string_view name, value;
  if (pg::takeText(body, name) && pg::takeText(body, value) && name == "load")
    out.loads = readLoads(value, loadNames_);
  const bool lacks = std::any_of(out.loads.begin(), out.loads.end(), [](float v) { return std::isnan(v); });
  if (lacks && !std::exchange(lacking_, true))
    log_.warning("load reports lack a field of the configuration: ", value);
}

// Takes what is held up to ReadyForQuery; false: something stands there that may not.
bool Pool::settle(Connection &c, Tried *out) {
  pg::Message m;
  while (!c.settled && pg::parseMessage(c.buffer.view(), m) == pg::Parsed::whole) {
    if (m.type == 'S' && out != nullptr) readParameter(m.body, *out);
    if (m.type == 'Z') c.settled = true;
    if (m.type != 'S' && m.type != 'N' && m.type != 'Z') return false;
    c.buffer.consume(m.size);
  }
  return true;
}

// Open, and nothing there but what was due.
bool Pool::usable(Connection &c) {
  if (!c.settled && c.socket->readNow(c.buffer) == Cause::none && !settle(c, nullptr)) return false;
  return c.settled && c.buffer.empty() && c.socket->quiet();
}

Pool::Held Pool::take(const Target &target) {
  if (target.index >= places_.size()) return nullptr;
  auto &idle = places_[target.index].idle;
  while (!idle.empty()) {
    auto c = std::move(idle.back());
    idle.pop_back();
    if (c->changes == target.changes && sched_.now() - c->idleSince < idleAtMost_ / 2 && usable(*c)) return c;
  }
  return nullptr;
}

void Pool::keep(const Target &target, Held c) {
  while (places_.size() <= target.index) places_.emplace_back();
  auto &place = places_[target.index];
  place.target = &target;
  if (c->changes != target.changes || !target.listed) return;
  c->idleSince = sched_.now();
  c->buffer.shrink(16 * 1024);
  place.idle.push_back(std::move(c));
}

net::Task<> Pool::sweep() {
  for (;;) {
    co_await sched_.sleep(kSec);
    for (auto &place : places_)
      std::erase_if(place.idle, [&](const Held &c) {
        const bool old = sched_.now() - c->idleSince >= idleAtMost_ / 2;
        return old || c->changes != place.target->changes || !usable(*c);
      });
  }
}

bool Pool::closeOldestIdle() {
  Place *oldest = nullptr;
  for (auto &place : places_)
    if (!place.idle.empty() &&
        (oldest == nullptr || place.idle.front()->idleSince < oldest->idle.front()->idleSince))
      oldest = &place;
  if (oldest == nullptr) return false;
  oldest->idle.pop_front();
  return true;
}

} // namespace myrtlehead::nodes
