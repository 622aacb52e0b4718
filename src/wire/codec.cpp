#include "wire/codec.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <cmath>
#include <cstring>
#include <unordered_map>

namespace myrtlehead::wire {

namespace {

constexpr std::size_t kReplyHead = 12;
constexpr Ns kUs = 1000;

std::uint32_t micros(Ns t) { return static_cast<std::uint32_t>(std::clamp<Ns>(t / kUs, 0, 0xffffffffLL)); }

// The path=value lines of the settings; a path is looked up once, when the Deployment is decoded.
class Lines {
public:
  explicit Lines(std::string_view text) {
    for (int no = 1; !text.empty(); ++no) {
      const auto end = std::min(text.find('\n'), text.size());
      const auto line = text.substr(0, end);
      text.remove_prefix(std::min(end + 1, text.size()));
      if (line.empty()) continue;
      const auto eq = line.find('=');
      if (eq == std::string_view::npos || eq == 0)
        throw WireError("settings line " + std::to_string(no) + ": no path=value in '" + std::string(line) +
                        "'");
      at_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
    }
  }

  std::string_view word(const std::string &path, std::string_view absent) const {
    const auto it = at_.find(path);
    return it == at_.end() || it->second.empty() ? absent : it->second;
  }
  double real(const std::string &path, double absent) const {
    const auto w = word(path, "");
    return w.empty() ? absent : parse(path, w);
  }
  long whole(const std::string &path, long absent, long least, long most) const {
    const double v = real(path, static_cast<double>(absent));
    if (v != std::floor(v) || v < static_cast<double>(least) || v > static_cast<double>(most))
      throw WireError("settings: " + path + " is out of range");
    return static_cast<long>(v);
  }
  Ns micros(const std::string &path, Ns absent) const {
    const double v = real(path, static_cast<double>(absent) / kUs);
    if (v < 0 || v > 1e15) throw WireError("settings: " + path + " is out of range");
    return static_cast<Ns>(v) * kUs;
  }
  bool flag(const std::string &path) const {
    const auto w = word(path, "false");
    if (w != "true" && w != "false") throw WireError("settings: " + path + " is neither true nor false");
    return w == "true";
  }
  std::vector<std::string_view> list(const std::string &path) const {
    std::vector<std::string_view> out;
    for (auto w = word(path, ""); !w.empty();) {
      const auto end = std::min(w.find(','), w.size());
      out.push_back(w.substr(0, end));
      w.remove_prefix(std::min(end + 1, w.size()));
    }
    return out;
  }
  std::vector<double> reals(const std::string &path) const {
    std::vector<double> out;
    for (const auto w : list(path)) out.push_back(parse(path, w));
    return out;
  }

private:
  static double parse(const std::string &path, std::string_view w) {
    double v = 0;
    const auto r = std::from_chars(w.data(), w.data() + w.size(), v);
    if (r.ec != std::errc{} || r.ptr != w.data() + w.size() || !std::isfinite(v))
      throw WireError("settings: " + path + " is no number: '" + std::string(w) + "'");
    return v;
  }
  std::unordered_map<std::string, std::string_view> at_;
};

Route readRoute(const Lines &in, const std::string &at) {
  Route r;
  r.objective = in.micros(at + "onTimeUs", kSec);
  r.dedupeWindow = in.micros(at + "repeatWindowUs", 0);
  r.importance = in.real(at + "worth", 1);
  const auto effect = in.word(at + "effect", "single_shot"), group = in.word(at + "group", "all");
  if (effect != "free" && effect != "guarded" && effect != "single_shot")
    throw WireError("settings: " + at + "effect is unknown: '" + std::string(effect) + "'");
  r.repeat = effect == "free"      ? Repeat::retriable
             : effect == "guarded" ? Repeat::deduped
                                   : Repeat::nonRetriable;
  if (group != "all" && group != "zone" && group != "cell")
    throw WireError("settings: " + at + "group is unknown: '" + std::string(group) + "'");
  r.group = group == "all" ? Group::all : group == "zone" ? Group::zone : Group::cell;
  return r;
}

Rollout readRollout(const Lines &in) {
  Rollout r;
  const auto control = in.word("familyInfo.control", "first_voice");
  if (control != "first_voice" && control != "by_count" && control != "automatic")
    throw WireError("settings: familyInfo.control is unknown: '" + std::string(control) + "'");
  r.control = control == "automatic"  ? Control::clock
              : control == "by_count" ? Control::byCount
                                      : Control::anyVoice;
  r.caps = in.reals("familyInfo.caps");
  r.free = in.real("familyInfo.free", 0);
  r.capByRoute = in.word("familyInfo.capScope", "all") == "each_class";
  r.noReturn = in.flag("familyInfo.noReturn");
  r.earlierStay = in.word("familyInfo.swap", "replace") == "parallel";
  r.guardedStages = static_cast<int>(in.whole("familyInfo.guardedStages", 0, 0, 1000));
  r.foundShare = in.real("familyInfo.foundShare", 0);
  r.votesToGo = static_cast<int>(in.whole("familyInfo.votesToGo", 0, 0, 1'000'000));
  r.noesNeeded = static_cast<int>(in.whole("familyInfo.noesNeeded", 1, 0, 1'000'000));
  r.stoppers = static_cast<int>(in.whole("familyInfo.stoppers", 0, 0, 1'000'000));
  r.voteStands = in.micros("familyInfo.voteStandsUs", 4 * kSec);
  r.voteAllowance = in.real("familyInfo.voteAllowance", 1);
  return r;
}

LoadField loadField(std::string_view name) {
  if (name == "active") return LoadField::active;
  if (name == "waiting") return LoadField::waiting;
  return name == "cpu" ? LoadField::cpu : LoadField::other;
}

} // namespace

float Reader::f32() { return std::bit_cast<float>(u32()); }

void Reader::fail(const std::string &what) const {
  throw WireError(what + " (at byte " + std::to_string(at_) + " of the frame)");
}

const std::uint8_t *Reader::bytes(std::size_t n) {
  if (n > left())
    fail("truncated: " + std::to_string(n) + " bytes wanted, " + std::to_string(left()) + " left");
  at_ += n;
  return data_ + at_ - n;
}

std::uint64_t Reader::number(std::size_t n) {
  const auto *p = bytes(n);
  std::uint64_t v = 0;
  for (std::size_t i = 0; i < n; ++i) v = v << 8 | p[i];
  return v;
}

BatchHead readHead(Reader &in) {
  BatchHead h;
  const auto clock = in.u64();
  if (clock > 0x7fffffffffffffffULL / kUs) in.fail("the clock is out of range");
  h.now = static_cast<Ns>(clock) * kUs;
  h.records = in.u32();
  h.number = in.u32();
  if (h.records > in.left()) in.fail("impossible count of records: " + std::to_string(h.records));
  return h;
}

void Writer::record(go::Code code) {
  buf_.push_back(code);
  ++records_;
}

void Writer::number(std::uint64_t v, std::size_t n) {
  while (n-- > 0) buf_.push_back(static_cast<std::uint8_t>(v >> (8 * n)));
}

void Writer::text(std::string_view s) {
  s = s.substr(0, 0xffff);
  number(s.size(), 2);
  buf_.insert(buf_.end(), s.begin(), s.end());
}

void Writer::submit(std::uint64_t req, Ns timeout, NodeId node) {
  record(go::submitTo);
  number(req, 8);
  number(micros(timeout), 4);
  number(node, 6);
}

void Writer::withdraw(std::uint64_t req, std::uint8_t tryNo) {
  record(go::withdraw);
  number(req, 8);
  number(tryNo, 1);
}

void Writer::busy(std::uint64_t req, Ns pause) {
  record(go::busy);
  number(req, 8);
  number(micros(pause), 4);
}

void Writer::error(std::uint64_t req) {
  record(go::error);
  number(req, 8);
}

void Writer::wake(Ns in, std::uint64_t mark) {
  record(go::wakeAt);
  number(micros(in), 4);
  number(mark, 8);
}

void Writer::touch(NodeId node) {
  record(go::touch);
  number(node, 6);
}

void Writer::watch() {
  record(go::watch);
  number(1, 1);
}

void Writer::getList() { record(go::getList); }

void Writer::shutIdle(NodeId node) {
  record(go::shutIdle);
  number(node, 6);
}

void Writer::peer(int to, const std::vector<std::uint8_t> &bytes) {
  record(go::writePeer);
  number(to < 0 ? 0xffffffffULL : static_cast<std::uint64_t>(to), 4);
  number(bytes.size(), 2);
  buf_.insert(buf_.end(), bytes.begin(), bytes.end());
}

void Writer::opinion(const Vote &vote) {
  record(go::opinion);
  number(static_cast<std::uint64_t>(vote.stage), 1);
  number(static_cast<std::uint64_t>(vote.verdict), 1);
  number(static_cast<std::uint64_t>(vote.build), 2);
}

void Writer::log(std::string_view s) {
  record(go::writeLog);
  text(s);
}

void Writer::exception(std::string_view s) {
  record(go::exception);
  text(s);
}

void Frame::begin(std::uint32_t batch) {
  buf_.assign(kReplyHead, 0);
  records_ = 0;
  batch_ = batch;
}

void Frame::add(std::uint32_t who, Writer &records) {
  if (records.records_ == 0) return;
  buf_.push_back(go::as);
  for (int shift = 24; shift >= 0; shift -= 8) buf_.push_back(static_cast<std::uint8_t>(who >> shift));
  buf_.insert(buf_.end(), records.buf_.begin(), records.buf_.end());
  records_ += 1 + records.records_;
  records.buf_.clear();
  records.records_ = 0;
}

const std::vector<std::uint8_t> &Frame::bytes() {
  const std::uint32_t head[3] = {records_, static_cast<std::uint32_t>(buf_.size() - 8), batch_};
  for (std::size_t i = 0; i < kReplyHead; ++i)
    buf_[i] = static_cast<std::uint8_t>(head[i / 4] >> (8 * (3 - i % 4)));
  return buf_;
}

Outcome outcomeOf(std::uint8_t code, const Reader &in) {
  switch (code) {
  case 0:
    return Outcome::completed;
  case 13:
    return Outcome::errored;
  case 8:
    return Outcome::turnedAway;
  case 4:
    return Outcome::timedOut;
  case 14:
    return Outcome::unreachable;
  case 10:
    return Outcome::reset;
  case 1:
    return Outcome::cancelled;
  case 9:
    return Outcome::notSent;
  }
  in.fail("unknown outcome " + std::to_string(code));
}

Reply replyOf(std::uint8_t code, const Reader &in) {
  switch (code) {
  case 0:
    return Reply::ok;
  case 9:
    return Reply::moot;
  case 8:
    return Reply::full;
  case 13:
    return Reply::error;
  case 4:
    return Reply::timedOut;
  }
  in.fail("unknown answer to a vote " + std::to_string(code));
}

Phase phaseOf(std::uint8_t code, const Reader &in) {
  if (code > 3) in.fail("unknown phase " + std::to_string(code));
  return static_cast<Phase>(code);
}

Listing readListing(Reader &in, NodeId &node) {
  Listing l;
  const float build = in.f32();
  if (!(build >= 0 && build < 65536)) in.fail("impossible build number in a list");
  l.build = static_cast<int>(build);
  const auto start = in.u64();
  if (start > 0x7fffffffffffffffULL / kUs) in.fail("impossible start time in a list");
  l.start = static_cast<Ns>(start) * kUs;
  l.cell = in.u16();
  const auto mode = in.u8();
  if (mode > 2) in.fail("unknown mode of a node " + std::to_string(mode));
  l.mode = mode == 2 ? Mode::ready : mode == 0 ? Mode::draining : Mode::gone;
  l.zone = in.u8();
  in.f32(); // size and kind sway no decision
  in.u16();
  node = in.node();
  return l;
}

Deployment readDeployment(std::string_view text) {
  const Lines in(text);
  Deployment d;
  d.me = static_cast<int>(in.whole("me", 0, 0, 1'000'000));
  d.marshals = static_cast<int>(in.whole("peersTotal", 1, 1, 1'000'000));
  d.zone = static_cast<int>(in.whole("locality", 0, 0, 65535));
  const auto routes = in.whole("services.count", 0, 0, 256);
  for (long i = 0; i < routes; ++i) d.routes.push_back(readRoute(in, "services." + std::to_string(i) + "."));
  for (const auto f : in.list("telemetry.fields")) d.loadFields.push_back(loadField(f));
  const auto tenants = in.whole("parties.count", 0, 0, 65536);
  for (long i = 0; i < tenants; ++i)
    d.tenantRps.push_back(in.real("parties." + std::to_string(i) + ".quotaRps", 0));
  d.overShareWorth = in.real("overShareWorth", 1);
  d.rollout = readRollout(in);
  d.tick = in.micros("resolutionUs", kMs);
  d.coldFor = in.micros("contract.coldUs", 0);
  d.fallSpan = in.micros("contract.tipAfterUs", kSec);
  d.maxRetryAfter = in.micros("limits.maxRetryAfterUs", 0);
  d.coldFrom = in.real("contract.coldFrom", 1);
  d.fallMultiple = in.real("contract.fallMultiple", 1);
  d.crossZonePrice = in.real("prices.crossZone", 0);
  d.mostTries = static_cast<int>(in.whole("limits.mostTries", 1, 1, 255));
  d.listAsked = in.word("registryMode", "push") == "ask";
  d.peers = in.flag("limits.peers");
  d.retryAfter = in.flag("limits.retryAfter");
  return d;
}

} // namespace myrtlehead::wire
