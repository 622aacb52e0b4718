// The adapter for the simulator's wire: hosts the instances, turns records into calls on the guard and its
// answers into records. It keeps the reqs in hand and their timers, and decides nothing.
#include "decide/repute/repute.h"
#include "sim/wire/codec.h"

#include <cstdio>
#include <memory>
#include <unordered_map>

namespace {

using namespace myrtlehead;
using namespace myrtlehead::wire;

constexpr std::uint64_t kTickMark = 1ULL << 63; // req ids stay below 2^52

// One marshal: its guard, and the ids by which the wire knows its nodes and reqs.
struct Marshal {
  Marshal(Deployment d, std::uint64_t seed, Ns now)
      : guard(std::move(d), seed, now), repute(guard.s.d.me, guard.s.d.marshals, guard.s.d.zone),
        chance(seed + 3) {}
  Guard guard;
  repute::Repute repute;
  std::knuth_b chance; // for what others tell
  Writer out; // its records in the reply; they go with it if it is killed in the batch
  std::unordered_map<NodeId, Node *> nodes;
  std::unordered_map<std::uint64_t, std::unique_ptr<Req>> reqs;
  Ns tickAt = 0; // when the next tick timer fires; 0: none is set
  bool touched = false;
};

struct Entry {
  NodeId node = 0;
  Listing listing;
};

class Host {
public:
  const std::vector<std::uint8_t> &answer(Reader &in);

private:
  void record(Reader &in);
  void spawn(Reader &in);
  void directory(Reader &in);
  void directoryUpdate(Reader &in);
  void newRequest(Reader &in);
  void begun(Reader &in);
  void done(Reader &in);
  void gone(Reader &in);
  void timer(Reader &in);
  void probeDone(Reader &in);
  void peer(Reader &in);
  void promotion(Reader &in);
  void sampled(Reader &in);
  void returned(Reader &in);
  Marshal &here(Reader &in);
  Node &node(Reader &in);
  Req *req(std::uint64_t id);
  std::vector<float> &loads(Reader &in);
  void carryOut(Req &rq, const Step &step);
  void release(std::uint64_t id);
  void finish(std::uint32_t who, Marshal &m);

  Ns now_ = 0;
  std::int64_t who_ = -1;
  Marshal *m_ = nullptr;
  std::unordered_map<std::uint32_t, std::unique_ptr<Marshal>> marshals_;
  std::vector<std::uint32_t> touched_;
  std::vector<Entry> lists_[16];
  std::vector<float> loads_;
  Frame out_;
};

const std::vector<std::uint8_t> &Host::answer(Reader &in) {
  const auto head = readHead(in);
  now_ = head.now;
  who_ = -1;
  m_ = nullptr;
  out_.begin(head.number);
  try {
    for (std::uint32_t i = 0; i < head.records; ++i) record(in);
    if (in.left() != 0) in.fail(std::to_string(in.left()) + " bytes after the last record");
    for (const auto who : touched_) {
      const auto it = marshals_.find(who);
      if (it != marshals_.end() && it->second->touched) finish(who, *it->second);
    }
  } catch (const WireError &) {
    throw;
  } catch (const std::exception &e) { // of the guard: the wire has a record for it
    Writer fault;
    fault.exception(e.what());
    out_.add(static_cast<std::uint32_t>(who_), fault);
  }
  touched_.clear();
  return out_.bytes();
}

void Host::record(Reader &in) {
  const auto code = in.u8();
  switch (code) {
  case in::on:
    who_ = in.u32();
    if (const auto it = marshals_.find(static_cast<std::uint32_t>(who_)); it != marshals_.end())
      m_ = it->second.get();
    else
      m_ = nullptr;
    return;
  case in::directory:
    return directory(in);
  case in::spawn:
    return spawn(in);
  case in::killed:
    here(in);
    marshals_.erase(static_cast<std::uint32_t>(who_));
    m_ = nullptr;
    return;
  case in::directoryUpdate:
    return directoryUpdate(in);
  case in::newRequest:
    return newRequest(in);
  case in::begun:
    return begun(in);
  case in::done:
    return done(in);
  case in::gone:
    return gone(in);
  case in::timer:
    return timer(in);
  case in::probeDone:
    return probeDone(in);
  case in::peer:
    return peer(in);
  case in::promotion:
    return promotion(in);
  case in::sampled:
    return sampled(in);
  case in::returned:
    return returned(in);
  }
  in.fail("unknown record code " + std::to_string(code));
}

Marshal &Host::here(Reader &in) {
  if (m_ == nullptr)
    in.fail(who_ < 0 ? "a record before any On" : "unknown instance " + std::to_string(who_));
  if (!m_->touched) {
    m_->touched = true;
    touched_.push_back(static_cast<std::uint32_t>(who_));
  }
  return *m_;
}

void Host::spawn(Reader &in) {
  const auto seed = in.u64();
  const auto n = in.u32();
  const auto *text = in.bytes(n);
  if (who_ < 0) in.fail("a record before any On");
  auto fresh = std::make_unique<Marshal>(readDeployment({reinterpret_cast<const char *>(text), n}), seed,
                                         now_);
  m_ = fresh.get();
  marshals_[static_cast<std::uint32_t>(who_)] = std::move(fresh);
  here(in);
}

void Host::directory(Reader &in) {
  const auto no = in.u16();
  const auto n = in.u32();
  if (no >= std::size(lists_)) in.fail("list number " + std::to_string(no) + " is above 15");
  if (n > in.left() / 28) in.fail("impossible count of list entries: " + std::to_string(n));
  lists_[no].resize(n);
  for (auto &e : lists_[no]) e.listing = readListing(in, e.node);
}

void Host::directoryUpdate(Reader &in) {
  auto &m = here(in);
  const auto kind = in.u8();
  in.u64(); // the version: events already come in its order
  const auto no = in.u16();
  if (kind > 3) in.fail("unknown kind of list news " + std::to_string(kind));
  if (kind == 3) return m.guard.listFailed(now_);
  if (no >= std::size(lists_)) in.fail("list number " + std::to_string(no) + " is above 15");
  for (const auto &e : lists_[no]) {
    auto &known = m.nodes[e.node];
    if (known == nullptr) {
      known = &m.guard.newNode();
      known->door = e.node;
      known->mark = static_cast<std::uint16_t>(1 + e.node % 0xffff);
    }
    if (known->listing.build != e.listing.build || known->listing.start != e.listing.start) {
      m.repute.forget(known->mark);
      known->doubtedUntil = 0;
    }
    m.guard.listed(*known, e.listing, now_);
  }
  m.guard.listComplete(kind != 0, kind == 2, now_);
}

void Host::newRequest(Reader &in) {
  auto &m = here(in);
  auto rq = std::make_unique<Req>();
  rq->door = in.u64();
  rq->route = in.u8();
  rq->tenant = in.u16();
  rq->key = in.u64();
  rq->taken = now_;
  rq->deadline = now_ + Ns{in.u32()} * 1000;
  in.u32(); // the cost hint sways no decision
  rq->clientRepeat = (in.u8() & 2) != 0;
  if (static_cast<std::size_t>(rq->route) >= m.guard.s.d.routes.size())
    in.fail("unknown route " + std::to_string(rq->route));
  auto &slot = m.reqs[rq->door];
  if (slot != nullptr) in.fail("req id " + std::to_string(rq->door) + " is already in hand");
  slot = std::move(rq);
  auto &r = *slot;
  carryOut(r, m.guard.where(r, now_));
}

Req *Host::req(std::uint64_t id) {
  const auto it = m_->reqs.find(id);
  return it == m_->reqs.end() ? nullptr : it->second.get();
}

// A req is let go once it has ended and no try of it is out.
void Host::release(std::uint64_t id) {
  const auto it = m_->reqs.find(id);
  if (it != m_->reqs.end() && it->second->ended && it->second->out == 0) m_->reqs.erase(it);
}

void Host::carryOut(Req &rq, const Step &step) {
  const auto id = rq.door;
  switch (step.what) {
  case Step::send:
    m_->out.submit(id, step.timeout, step.node->door);
    break;
  case Step::shed:
    m_->out.busy(id, step.retryAfter);
    break;
  case Step::fail:
    m_->out.error(id);
    break;
  case Step::hold:
    break;
  case Step::nothing:
    break;
  }
  if (!rq.ended && (step.what == Step::hold || step.what == Step::send)) {
    if (const auto wait = m_->guard.wait(rq, now_); wait > 0) m_->out.wake(wait, id);
  }
  release(id);
}

void Host::begun(Reader &in) {
  auto &m = here(in);
  auto *rq = req(in.u64());
  node(in);
  const auto tryNo = in.u8();
  in.u32();
  if (rq != nullptr && tryNo < rq->tries.size()) m.guard.streaming(*rq, tryNo, now_);
}

void Host::done(Reader &in) {
  auto &m = here(in);
  const auto id = in.u64();
  auto *rq = req(id);
  const auto tryNo = in.u8();
  const bool settled = in.u8() != 0;
  auto &from = node(in);
  const auto outcome = outcomeOf(in.u8(), in);
  const auto took = Ns{in.u32()} * 1000;
  if (const auto &values = loads(in); !values.empty()) m.guard.loadReport(from, values, now_);
  if (rq == nullptr) return;
  if (tryNo >= rq->tries.size()) in.fail("an outcome for a try never sent");
  const auto &sent = rq->tries[tryNo];
  if (m.guard.s.d.peers && sent.out && sent.build == from.listing.build && sent.sent >= from.listing.start) {
    m.repute.finished(from.mark, outcome);
    from.doubtedUntil = m.repute.doubtedUntil(from.mark);
  }
  carryOut(*rq, m.guard.after(*rq, tryNo, outcome, took, settled, now_));
}

void Host::gone(Reader &in) {
  auto &m = here(in);
  const auto id = in.u64();
  if (auto *rq = req(id)) m.guard.gone(*rq);
  release(id);
}

void Host::timer(Reader &in) {
  auto &m = here(in);
  const auto mark = in.u64();
  if (mark == kTickMark) {
    if (m.tickAt <= now_) m.tickAt = 0;
  } else if (auto *rq = req(mark); rq != nullptr && !rq->ended) {
    carryOut(*rq, m.guard.where(*rq, now_));
  }
}

Node &Host::node(Reader &in) {
  const auto id = in.node();
  const auto it = m_->nodes.find(id);
  if (it == m_->nodes.end()) in.fail("a node that no list has named");
  return *it->second;
}

std::vector<float> &Host::loads(Reader &in) {
  loads_.resize(in.u8());
  for (auto &v : loads_) v = in.f32();
  return loads_;
}

void Host::probeDone(Reader &in) {
  auto &m = here(in);
  auto &from = node(in);
  outcomeOf(in.u8(), in);
  in.u32();
  if (const auto &values = loads(in); !values.empty()) m.guard.loadReport(from, values, now_);
}

void Host::peer(Reader &in) {
  auto &m = here(in);
  const auto from = in.u32();
  const auto n = in.u16();
  const auto *bytes = in.bytes(n);
  if (const auto telling = repute::unpack(bytes, n)) {
    m.repute.heard(static_cast<int>(from), *telling, now_, m.chance);
    for (const auto &seen : telling->nodes)
      for (auto &node : m.guard.s.nodes)
        if (node.mark == seen.node) node.doubtedUntil = m.repute.doubtedUntil(seen.node);
    return;
  }
  m.guard.note(static_cast<int>(from), bytes, n, now_);
}

void Host::promotion(Reader &in) {
  auto &m = here(in);
  const bool answer = in.u8() != 0;
  News news;
  news.stage = in.u8();
  news.age = Ns{in.u32()} * 1000;
  const auto reply = replyOf(in.u8(), in);
  news.phase = phaseOf(in.u8(), in);
  news.cap = static_cast<double>(in.f32());
  news.build = in.u16();
  if (reply == Reply::ok) m.guard.news(news, now_);
  if (answer) m.guard.voteAnswered(reply, now_);
}

void Host::sampled(Reader &in) {
  auto &m = here(in);
  const auto bad = in.u32();
  const auto route = in.u8();
  const auto build = in.u16();
  const auto all = in.u32();
  in.u32();
  const auto mean = Ns{in.u32()} * 1000;
  m.guard.tallied(build, route, bad, all, mean, now_);
}

void Host::returned(Reader &in) {
  auto &m = here(in);
  auto &from = node(in);
  const auto route = in.u8();
  m.guard.flagged(from, route, Ns{in.u32()} * 1000, now_);
}

void Host::finish(std::uint32_t who, Marshal &m) {
  who_ = who;
  m.touched = false;
  const auto due = m.guard.due(now_);
  for (const auto &line : due.lines) m.out.log(line);
  if (due.watchList) m.out.watch();
  for (const auto &note : due.notes) m.out.peer(note.to, note.bytes);
  if (m.guard.s.d.peers)
    for (const auto &note : m.repute.due(now_, m.chance)) m.out.peer(note.to, note.bytes);
  for (const auto &vote : due.votes) m.out.opinion(vote);
  const auto wait = m.guard.wait(now_);
  if (m.tickAt == 0 || now_ + wait < m.tickAt) {
    m.out.wake(wait, kTickMark);
    m.tickAt = now_ + wait;
  }
  out_.add(who, m.out);
}

bool readExactly(std::uint8_t *to, std::size_t n, bool mayEnd) {
  const auto got = std::fread(to, 1, n, stdin);
  if (got == n) return true;
  if (got == 0 && mayEnd && std::feof(stdin)) return false;
  throw WireError("truncated: input ended after " + std::to_string(got) + " of " + std::to_string(n) +
                  " bytes");
}

void serve() {
  Host host;
  std::vector<std::uint8_t> frame;
  std::uint8_t head[4];
  while (readExactly(head, sizeof head, true)) {
    const std::size_t n = Reader(head, sizeof head).u32();
    if (n < 16 || n > (std::size_t{1} << 30)) throw WireError("impossible frame length " + std::to_string(n));
    frame.resize(n);
    readExactly(frame.data(), n, false);
    Reader in(frame.data(), n);
    const auto &reply = host.answer(in);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      throw WireError("standard output is closed");
  }
}

} // namespace

int main() {
  try {
    serve();
  } catch (const std::exception &e) {
    std::fprintf(stderr, "myrtlehead_wirehost: %s\n", e.what());
    return 1;
  }
  return 0;
}
