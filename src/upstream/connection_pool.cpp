#include "upstream/connection_pool.h"

#include "format/pg/message.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace myrtlehead::upstream {

using net::ErrorCode;
using net::Failure;
using net::SendProgress;

namespace {

constexpr int kControlShare = 16;         // descriptors kept for calls on discovery and the platform
constexpr std::size_t kSmall = 16 * 1024; // an answer that needs no place of its own, a buffer that is kept
constexpr Nanoseconds kSettled = kSecond; // for what is due behind an answer to come

// The next message of a connection, at the front of its buffer until it is consumed.
net::Task<Failure> nextMessage(net::Socket &socket, net::Buffer &buffer, net::Deadline until,
                               SendProgress reach, pg::Message &out) {
  for (;;) {
    const auto parsed = pg::parseMessage(buffer.view(), out);
    if (parsed == pg::Parsed::whole) co_return Failure{};
    if (parsed == pg::Parsed::bad) co_return Failure{ErrorCode::unreadable, reach};
    const auto cause = co_await socket.read(buffer, until);
    if (cause != ErrorCode::none)
      co_return Failure{cause, buffer.empty() ? reach : std::max(reach, SendProgress::responseStarted)};
  }
}

} // namespace

Outcome outcomeOf(const Failure &failure) {
  const bool written = failure.progress == SendProgress::fullyWritten ||
                       failure.progress == SendProgress::responseStarted;
  if (failure.cause == ErrorCode::noDescriptorLeft) return Outcome::notSent; // no fault of the endpoint's
  if (failure.cause == ErrorCode::cancelled) return written ? Outcome::cancelled : Outcome::notSent;
  if (!written) return Outcome::unreachable;
  return failure.cause == ErrorCode::timedOut ? Outcome::timedOut : Outcome::reset;
}

// Guards the belief of load against reports that can't be: one bad value spoils all of them.
std::vector<float> readLoads(std::string_view text, const std::vector<std::string> &names) {
  constexpr float kMost = 1e6f;
  std::vector<float> out(names.size(), -1);
  while (!text.empty()) {
    const auto end = std::min(text.find(','), text.size());
    const auto item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto eq = std::min(item.find('='), item.size());
    const auto at = std::find(names.begin(), names.end(), item.substr(0, eq));
    if (at == names.end()) continue;
    const auto word = item.substr(std::min(eq + 1, item.size()));
    float value = 0;
    const auto r = std::from_chars(word.data(), word.data() + word.size(), value);
    const bool whole = r.ec == std::errc{} && r.ptr == word.data() + word.size();
    out[static_cast<std::size_t>(at - names.begin())] = whole && value <= kMost ? value : -1; // nan is not
  }
  const auto is = [](float value) { return value >= 0; };
  return std::all_of(out.begin(), out.end(), is) ? out : std::vector<float>{};
}

net::Task<AttemptResult> ConnectionPool::attempt(const UpstreamEndpoint &target,
                                                 const pg::Statement &statement, net::Deadline until,
                                                 Nanoseconds sendBy, std::function<bool()> meant) {
  AttemptResult out;
  Held c = take(target);
  if (c == nullptr) {
    auto opened = co_await open(target, until);
    if (!opened) {
      const bool full = opened.failure().cause == ErrorCode::refused &&
                        opened.failure().progress == SendProgress::responseStarted;
      out.outcome = full ? Outcome::rejected : outcomeOf(opened.failure());
      co_return out;
    }
    c = std::move(*opened);
  }
  // Guards against writing to an endpoint that was listed otherwise, or too late for a repeat, once the
  // connection is up.
  if (!meant() || sched_.now() > sendBy) {
    keep(target, std::move(c));
    out.outcome = Outcome::notSent;
    co_return out;
  }
  std::string query;
  pg::addQuery(query, pg::withPatience(statement,
                                       std::max<Nanoseconds>(
                                           (until.at - sched_.now() + kMillisecond - 1) / kMillisecond, 1)));
  const auto failure = co_await exchange(*c, std::move(query), until, sendBy, out);
  if (failure.cause != ErrorCode::none)
    out.outcome = outcomeOf(failure);
  else
    keep(target, std::move(c));
  co_return out;
}

net::Task<net::Result<ConnectionPool::Held>> ConnectionPool::open(const UpstreamEndpoint &target,
                                                                  net::Deadline until) {
  const auto address = net::parseAddress(target.address);
  if (!address) co_return Failure{ErrorCode::refused};
  until.at = std::min(until.at, sched_.now() + connectWithin_);
  if (budget_.available() <= kControlShare && !closeOldestIdle())
    co_return Failure{ErrorCode::noDescriptorLeft};
  auto connected = co_await net::connect(sched_, budget_, *address, until);
  if (!connected) co_return connected.failure();
  auto c = std::make_unique<Connection>();
  c->changes = target.version;
  c->socket = std::move(*connected);
  const auto failure = co_await welcome(*c, until);
  if (failure.cause != ErrorCode::none) co_return failure;
  co_return std::move(c);
}

// From the startup message to the first ReadyForQuery. Refused at `answering`: the endpoint has said no.
net::Task<Failure> ConnectionPool::welcome(Connection &c, net::Deadline until) {
  std::string startup;
  pg::addStartup(startup, "svc", "main");
  const auto cause = co_await c.socket->write(startup, until);
  if (cause != ErrorCode::none) co_return Failure{cause};
  for (;;) {
    pg::Message m;
    auto failure = co_await nextMessage(*c.socket, c.buffer, until, SendProgress::notConnected, m);
    failure.progress = SendProgress::notConnected; // nothing of the request has been written
    if (failure.cause != ErrorCode::none) co_return failure;
    const char type = m.type;
    const bool admitted = type != 'R' || m.body == std::string_view("\0\0\0\0", 4);
    const auto code = type == 'E' ? pg::errorCode(m.body) : "";
    if (code == "53300" || code == "57P03")
      co_return Failure{ErrorCode::refused, SendProgress::responseStarted};
    if (type == 'E' || !admitted) co_return Failure{ErrorCode::refused};
    c.buffer.consume(m.size);
    if (type == 'Z') co_return Failure{};
  }
}

// The statement is written and its answer read, up to ReadyForQuery if that has come along. What is passed on
// has the form of the one answer due; anything else may have run and is not believed.
net::Task<Failure> ConnectionPool::exchange(Connection &c, std::string query, net::Deadline until,
                                            Nanoseconds sendBy, AttemptResult &out) {
  const net::Deadline whole{std::min(until.at, sendBy), until.cancellation};
  const auto written = co_await c.socket->write(query, whole);
  if (written != ErrorCode::none) co_return Failure{written, SendProgress::partlyWritten};
  bool over = false, any = false;
  while (!over) {
    pg::Message m;
    const auto part = c.reply.next(c.buffer.view(), m);
    if (part == pg::Reply::more) {
      const auto size = pg::announcedSize(c.buffer.view());
      if (size > kSmall && !out.memory.isAcquired()) {
        const auto reserved = co_await net::MemoryReservation::acquire(sched_, large_, size, until,
                                                                       out.memory);
        if (reserved != net::MemoryReservation::Result::acquired)
          co_return Failure{ErrorCode::timedOut, SendProgress::responseStarted};
        c.buffer.prepare(size + kSmall - c.buffer.view().size()); // once, for all that comes
        out.answer.reserve(size + kHead);
      }
      const auto cause = co_await c.socket->read(c.buffer, until);
      if (cause != ErrorCode::none)
        co_return Failure{cause, any ? SendProgress::responseStarted : SendProgress::fullyWritten};
      any = true;
      continue;
    }
    if (part == pg::Reply::bad || part == pg::Reply::empty)
      co_return Failure{ErrorCode::unreadable, SendProgress::responseStarted};
    if (part == pg::Reply::aside && m.type == 'S') readParameter(m.body, out);
    if (part == pg::Reply::error)
      out.outcome = pg::errorCode(m.body) == "53300" ? Outcome::rejected : Outcome::failed;
    else if (part != pg::Reply::aside)
      out.answer += c.buffer.view().substr(0, m.size);
    if (part == pg::Reply::complete) out.outcome = Outcome::succeeded;
    over = part == pg::Reply::complete || part == pg::Reply::error;
    c.buffer.consume(m.size);
  }
  c.buffer.shrink(kSmall);
  // The load report stands between the answer and ReadyForQuery. What has not come along is read later.
  fence(c);
  settle(c, &out);
  if (!std::exchange(c.used, true)) co_return Failure{}; // no earlier answer's copy can have come
  const auto failure = co_await proven(c, until, out);
  co_return failure;
}

// Guards against a second copy of an earlier answer that comes while this one is waited for: then the one due
// comes before the empty query's answer, and which of the two is whose can't be told. It may have run.
net::Task<Failure> ConnectionPool::proven(Connection &c, net::Deadline until, AttemptResult &out) {
  while (!c.spoilt && c.due > 0) {
    const auto cause = co_await c.socket->read(c.buffer, until);
    if (cause != ErrorCode::none) co_return Failure{cause, SendProgress::responseStarted};
    settle(c, &out);
  }
  co_return c.spoilt ? Failure{ErrorCode::unreadable, SendProgress::responseStarted} : Failure{};
}

void ConnectionPool::readParameter(std::string_view body, AttemptResult &out) {
  std::string_view name, value;
  if (!pg::takeText(body, name) || !pg::takeText(body, value) || name != "load") return;
  out.loads = readLoads(value, loadNames_);
  if (out.loads.empty() && !loadNames_.empty() && !std::exchange(lacking_, true))
    log_.warning("a load report lacks a field or can't be read", {{"report", value.substr(0, 100)}});
}

// Guards against a second copy of an answer, or noise, that comes behind it: an empty query has no effect,
// and its answer can't overtake what the endpoint has sent before.
void ConnectionPool::fence(Connection &c) {
  std::string query;
  pg::addQuery(query, "");
  c.due = 2;
  c.emptyDue = true;
  c.spoilt = !c.socket->tryWrite(query);
}

// Takes what has come of what is due behind an answer: ReadyForQuery, then the empty query's answer.
void ConnectionPool::settle(Connection &c, AttemptResult *out) {
  pg::Message m;
  while (!c.spoilt && (c.due > 0 || !c.buffer.empty())) {
    const auto part = c.reply.next(c.buffer.view(), m);
    if (part == pg::Reply::more) return;
    const bool ready = part == pg::Reply::ready && (c.due == 2 || (c.due == 1 && !c.emptyDue));
    const bool empty = part == pg::Reply::empty && c.due == 1 && c.emptyDue;
    if (part == pg::Reply::aside && m.type == 'S' && out != nullptr) readParameter(m.body, *out);
    c.spoilt = part != pg::Reply::aside && !ready && !empty;
    if (c.spoilt) return;
    c.due -= ready;
    c.emptyDue = c.emptyDue && !empty;
    c.buffer.consume(m.size);
  }
}

// All that has come is read: the connection's end may stand behind what was due.
ConnectionPool::Standing ConnectionPool::standing(Connection &c) {
  auto cause = ErrorCode::none;
  while (cause == ErrorCode::none && !c.spoilt) {
    cause = c.socket->tryRead(c.buffer);
    settle(c, nullptr);
  }
  if (cause != ErrorCode::timedOut) return useless;
  c.buffer.shrink(kSmall);
  if (c.spoilt || (c.due == 0 && !c.buffer.empty())) return useless;
  return c.due > 0 ? unsettled : usable;
}

ConnectionPool::Held ConnectionPool::take(const UpstreamEndpoint &target) {
  if (target.index >= places_.size()) return nullptr;
  auto &idle = places_[target.index].idle;
  for (std::size_t i = idle.size(); i-- > 0;) {
    const bool fresh = idle[i]->changes == target.version &&
                       sched_.now() - idle[i]->idleSince < idleAtMost_ / 2;
    const auto stands = fresh ? standing(*idle[i]) : useless;
    if (stands == unsettled) continue;
    auto c = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (stands == usable) return c;
  }
  return nullptr;
}

void ConnectionPool::keep(const UpstreamEndpoint &target, Held c) {
  while (places_.size() <= target.index) places_.emplace_back();
  auto &place = places_[target.index];
  place.target = &target;
  if (c->changes != target.version || !target.isReady) return;
  c->idleSince = sched_.now();
  c->buffer.shrink(kSmall);
  place.idle.push_back(std::move(c));
}

net::Task<> ConnectionPool::sweep() {
  for (;;) {
    co_await sched_.sleep(kSecond);
    for (auto &place : places_)
      std::erase_if(place.idle, [&](const Held &c) {
        const bool old = sched_.now() - c->idleSince >= idleAtMost_ / 2;
        const bool late = c->due > 0 && sched_.now() - c->idleSince >= kSettled;
        return old || late || c->changes != place.target->version || standing(*c) == useless;
      });
  }
}

bool ConnectionPool::closeOldestIdle() {
  Place *oldest = nullptr;
  for (auto &place : places_)
    if (!place.idle.empty() &&
        (oldest == nullptr || place.idle.front()->idleSince < oldest->idle.front()->idleSince))
      oldest = &place;
  if (oldest == nullptr) return false;
  oldest->idle.pop_front();
  return true;
}

} // namespace myrtlehead::upstream
