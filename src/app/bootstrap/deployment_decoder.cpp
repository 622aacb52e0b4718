#include "app/bootstrap/deployment_decoder.h"

#include <charconv>
#include <cmath>

namespace myrtlehead::bootstrap {

namespace {

constexpr Nanoseconds kMicrosecond = 1000;

double parse(const std::string &path, std::string_view w) {
  double v = 0;
  const auto r = std::from_chars(w.data(), w.data() + w.size(), v);
  if (r.ec != std::errc{} || r.ptr != w.data() + w.size() || !std::isfinite(v))
    throw SetupError("settings: " + path + " is no number: '" + std::string(w) + "'");
  return v;
}

Route readRoute(const Paths &in, const std::string &at) {
  Route r;
  r.latencyObjective = in.micros(at + "onTimeUs", kSecond);
  r.idempotencyWindow = in.micros(at + "repeatWindowUs", 0);
  r.priorityWeight = in.real(at + "worth", 1);
  const auto effect = in.word(at + "effect", "single_shot"), group = in.word(at + "group", "all");
  if (effect != "free" && effect != "guarded" && effect != "single_shot")
    throw SetupError("settings: " + at + "effect is unknown: '" + std::string(effect) + "'");
  r.idempotency = effect == "free"      ? Idempotency::idempotent
                  : effect == "guarded" ? Idempotency::idempotentWithKey
                                        : Idempotency::notIdempotent;
  if (group != "all" && group != "zone" && group != "cell")
    throw SetupError("settings: " + at + "group is unknown: '" + std::string(group) + "'");
  r.idempotencyScope = group == "all"    ? IdempotencyScope::anywhere
                       : group == "zone" ? IdempotencyScope::zone
                                         : IdempotencyScope::cell;
  return r;
}

RolloutSettings readRollout(const Paths &in) {
  RolloutSettings r;
  const auto control = in.word("familyInfo.control", "first_voice");
  if (control != "first_voice" && control != "by_count" && control != "automatic")
    throw SetupError("settings: familyInfo.control is unknown: '" + std::string(control) + "'");
  r.control = control == "automatic"  ? RolloutControl::timer
              : control == "by_count" ? RolloutControl::quorum
                                      : RolloutControl::anyVote;
  r.stageCaps = in.reals("familyInfo.caps");
  r.freeAttempts = in.real("familyInfo.free", 0);
  r.capPerRoute = in.word("familyInfo.capScope", "all") == "each_class";
  r.stickyKeys = in.flag("familyInfo.noReturn");
  r.baselineStays = in.word("familyInfo.swap", "replace") == "parallel";
  r.idempotentOnlyStages = static_cast<int>(in.whole("familyInfo.guardedStages", 0, 0, 1000));
  r.reportedWrongShare = in.real("familyInfo.foundShare", 0);
  r.votesToPromote = static_cast<int>(in.whole("familyInfo.votesToGo", 0, 0, 1'000'000));
  r.votesToRollBack = static_cast<int>(in.whole("familyInfo.noesNeeded", 1, 0, 1'000'000));
  r.votesToHold = static_cast<int>(in.whole("familyInfo.stoppers", 0, 0, 1'000'000));
  r.voteLifetime = in.micros("familyInfo.voteStandsUs", 4 * kSecond);
  r.votesPerSecond = in.real("familyInfo.voteAllowance", 1);
  return r;
}

LoadReportField loadField(std::string_view name) {
  if (name == "active") return LoadReportField::inFlight;
  if (name == "waiting") return LoadReportField::queued;
  return name == "cpu" ? LoadReportField::cpu : LoadReportField::other;
}

} // namespace

Paths Paths::ofLines(std::string_view text) {
  Paths out;
  for (int no = 1; !text.empty(); ++no) {
    const auto end = std::min(text.find('\n'), text.size());
    const auto line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty()) continue;
    const auto eq = line.find('=');
    if (eq == std::string_view::npos || eq == 0)
      throw SetupError("settings line " + std::to_string(no) + ": no path=value in '" + std::string(line) +
                       "'");
    out.at_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
  }
  return out;
}

Paths Paths::ofJson(const json::Value &object) {
  Paths out;
  out.add("", object);
  return out;
}

void Paths::add(const std::string &path, const json::Value &value) {
  const auto dot = path.empty() ? path : path + ".";
  switch (value.kind) {
  case json::Value::null:
    return;
  case json::Value::boolean:
    at_[path] = value.truth ? "true" : "false";
    return;
  case json::Value::number:
  case json::Value::string:
    at_[path] = value.text;
    return;
  case json::Value::object:
    for (const auto &[name, field] : value.fields) add(dot + name, field);
    return;
  case json::Value::array:
    break;
  }
  std::string joined;
  for (std::size_t i = 0; i < value.items.size(); ++i) {
    const auto &item = value.items[i];
    if (item.kind == json::Value::object) add(dot + std::to_string(i), item);
    joined += (i > 0 ? "," : "") + item.text;
  }
  at_[path] = joined;
  at_[dot + "count"] = std::to_string(value.items.size());
}

std::string_view Paths::word(const std::string &path, std::string_view absent) const {
  const auto it = at_.find(path);
  return it == at_.end() || it->second.empty() ? absent : it->second;
}

double Paths::real(const std::string &path, double absent) const {
  const auto w = word(path, "");
  return w.empty() ? absent : parse(path, w);
}

long Paths::whole(const std::string &path, long absent, long least, long most) const {
  const double v = real(path, static_cast<double>(absent));
  if (v != std::floor(v) || v < static_cast<double>(least) || v > static_cast<double>(most))
    throw SetupError("settings: " + path + " is out of range");
  return static_cast<long>(v);
}

Nanoseconds Paths::micros(const std::string &path, Nanoseconds absent) const {
  const double v = real(path, static_cast<double>(absent) / kMicrosecond);
  if (v < 0 || v > 1e15) throw SetupError("settings: " + path + " is out of range");
  return static_cast<Nanoseconds>(v) * kMicrosecond;
}

bool Paths::flag(const std::string &path) const {
  const auto w = word(path, "false");
  if (w != "true" && w != "false") throw SetupError("settings: " + path + " is neither true nor false");
  return w == "true";
}

std::vector<std::string> Paths::list(const std::string &path) const {
  std::vector<std::string> out;
  for (auto w = word(path, ""); !w.empty();) {
    const auto end = std::min(w.find(','), w.size());
    out.emplace_back(w.substr(0, end));
    w.remove_prefix(std::min(end + 1, w.size()));
  }
  return out;
}

std::vector<double> Paths::reals(const std::string &path) const {
  std::vector<double> out;
  for (const auto &w : list(path)) out.push_back(parse(path, w));
  return out;
}

Deployment readDeployment(const Paths &in) {
  Deployment d;
  d.ownIndex = static_cast<int>(in.whole("me", 0, 0, 1'000'000));
  d.instanceCount = static_cast<int>(in.whole("peersTotal", 1, 1, 1'000'000));
  if (d.ownIndex >= d.instanceCount)
    throw SetupError("settings: me is " + std::to_string(d.ownIndex) +
                     ", but peersTotal, the number of marshals, is " + std::to_string(d.instanceCount) +
                     "; they are numbered from 0");
  d.zone = static_cast<int>(in.whole("locality", 0, 0, 65535));
  const auto routes = in.whole("services.count", 0, 0, 256);
  for (long i = 0; i < routes; ++i) d.routes.push_back(readRoute(in, "services." + std::to_string(i) + "."));
  for (const auto &f : in.list("telemetry.fields")) d.loadReportFields.push_back(loadField(f));
  const auto tenants = in.whole("parties.count", 0, 0, 65536);
  for (long i = 0; i < tenants; ++i)
    d.tenantQuotas.push_back(in.real("parties." + std::to_string(i) + ".quotaRps", 0));
  d.overQuotaWeight = in.real("overShareWorth", 1);
  d.rollout = readRollout(in);
  d.tickInterval = in.micros("resolutionUs", kMillisecond);
  d.warmupTime = in.micros("contract.coldUs", 0);
  d.coldBudgetWindow = in.micros("contract.tipAfterUs", kSecond);
  d.pollInterval = in.micros("contract.askEveryUs", 0);
  d.maxRetryAfter = in.micros("limits.maxRetryAfterUs", 0);
  d.warmupStartFraction = in.real("contract.coldFrom", 1);
  d.coldBudgetMultiple = in.real("contract.fallMultiple", 1);
  d.crossZoneCost = in.real("prices.crossZone", 0);
  d.maxAttempts = static_cast<int>(in.whole("limits.mostTries", 1, 1, 255));
  d.pollsEndpointList = in.word("registryMode", "push") == "ask";
  d.hasPeers = in.flag("limits.peers");
  d.sendsRetryAfter = in.flag("limits.retryAfter");
  return d;
}

} // namespace myrtlehead::bootstrap
