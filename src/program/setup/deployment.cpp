#include "program/setup/deployment.h"

#include <charconv>
#include <cmath>

namespace myrtlehead::setup {

namespace {

constexpr Ns kUs = 1000;

double parse(const std::string &path, std::string_view w) {
  double v = 0;
  const auto r = std::from_chars(w.data(), w.data() + w.size(), v);
  if (r.ec != std::errc{} || r.ptr != w.data() + w.size() || !std::isfinite(v))
    throw SetupError("settings: " + path + " is no number: '" + std::string(w) + "'");
  return v;
}

Route readRoute(const Paths &in, const std::string &at) {
  Route r;
  r.objective = in.micros(at + "onTimeUs", kSec);
  r.dedupeWindow = in.micros(at + "repeatWindowUs", 0);
  r.importance = in.real(at + "worth", 1);
  const auto effect = in.word(at + "effect", "single_shot"), group = in.word(at + "group", "all");
  if (effect != "free" && effect != "guarded" && effect != "single_shot")
    throw SetupError("settings: " + at + "effect is unknown: '" + std::string(effect) + "'");
  r.repeat = effect == "free"      ? Repeat::retriable
             : effect == "guarded" ? Repeat::deduped
                                   : Repeat::nonRetriable;
  if (group != "all" && group != "zone" && group != "cell")
    throw SetupError("settings: " + at + "group is unknown: '" + std::string(group) + "'");
  r.group = group == "all" ? Group::all : group == "zone" ? Group::zone : Group::cell;
  return r;
}

Rollout readRollout(const Paths &in) {
  Rollout r;
  const auto control = in.word("familyInfo.control", "first_voice");
  if (control != "first_voice" && control != "by_count" && control != "automatic")
    throw SetupError("settings: familyInfo.control is unknown: '" + std::string(control) + "'");
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

Ns Paths::micros(const std::string &path, Ns absent) const {
  const double v = real(path, static_cast<double>(absent) / kUs);
  if (v < 0 || v > 1e15) throw SetupError("settings: " + path + " is out of range");
  return static_cast<Ns>(v) * kUs;
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
  d.me = static_cast<int>(in.whole("me", 0, 0, 1'000'000));
  d.marshals = static_cast<int>(in.whole("peersTotal", 1, 1, 1'000'000));
  if (d.me >= d.marshals)
    throw SetupError("settings: me is " + std::to_string(d.me) +
                     ", but peersTotal, the number of marshals, is " + std::to_string(d.marshals) +
                     "; they are numbered from 0");
  d.zone = static_cast<int>(in.whole("locality", 0, 0, 65535));
  const auto routes = in.whole("services.count", 0, 0, 256);
  for (long i = 0; i < routes; ++i) d.routes.push_back(readRoute(in, "services." + std::to_string(i) + "."));
  for (const auto &f : in.list("telemetry.fields")) d.loadFields.push_back(loadField(f));
  const auto tenants = in.whole("parties.count", 0, 0, 65536);
  for (long i = 0; i < tenants; ++i)
    d.tenantRps.push_back(in.real("parties." + std::to_string(i) + ".quotaRps", 0));
  d.overShareWorth = in.real("overShareWorth", 1);
  d.rollout = readRollout(in);
  d.tick = in.micros("resolutionUs", kMs);
  d.coldFor = in.micros("contract.coldUs", 0);
  d.fallSpan = in.micros("contract.tipAfterUs", kSec);
  d.askEvery = in.micros("contract.askEveryUs", 0);
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

} // namespace myrtlehead::setup
