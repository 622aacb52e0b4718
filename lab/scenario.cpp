#include "lab/scenario.h"

#include "app/settings/settings.h"

#include <fmt/format.h>
#include <set>
#include <stdexcept>

#define TOML_HEADER_ONLY 0
#include <toml++/toml.h>

namespace myrtlehead::lab {

namespace {

// One table; a key that nobody asks for is an error.
class Reader {
public:
  Reader(const toml::table &table, std::string path) : table_(table), path_(std::move(path)) {}
  void done() const {
    for (const auto &[key, node] : table_)
      if (!known_.contains(std::string(key.str()))) fail(node, std::string(key.str()), "unknown key");
  }
  const toml::node *get(const char *key) {
    known_.insert(key);
    return table_.get(key);
  }
  template <class T> void value(const char *key, T &out) {
    const auto *node = get(key);
    if (node == nullptr) return;
    const auto v = node->value<T>();
    if (!v) fail(*node, key, "has another type");
    out = *v;
  }
  void duration(const char *key, Nanoseconds &out) {
    const auto *node = get(key);
    if (node == nullptr) return;
    const auto text = node->value<std::string>();
    const auto v = text ? settings::parseDuration(*text) : std::nullopt;
    if (!v) fail(*node, key, "is no duration such as \"2s\"");
    out = *v;
  }
  [[noreturn]] void fail(const toml::node &node, const std::string &key, const std::string &what) const {
    throw std::runtime_error(fmt::format("line {}: {}{} {}", node.source().begin.line, path_, key, what));
  }

private:
  const toml::table &table_;
  std::string path_;
  std::set<std::string> known_;
};

void readFleet(const toml::table &in, Scenario &out) {
  Reader r(in, "fleet.");
  r.value("servers", out.servers);
  r.value("marshals", out.marshals);
  r.value("cores", out.work.cores);
  r.duration("service", out.work.meanServiceTime);
  r.value("spread", out.work.serviceTimeSigma);
  r.value("queue", out.work.maxQueueLength);
  r.duration("cold_for", out.work.warmupTime);
  r.value("cold_from", out.work.warmupStartFraction);
  r.value("listed", out.listed);
  r.value("named", out.named);
  r.value("names_forget", out.namesForget);
  r.value("ttl", out.ttl);
  r.value("release", out.release);
  r.value("cap", out.cap);
  r.done();
}

void readLoad(const toml::table &in, LoadSettings &out) {
  Reader r(in, "load.");
  r.value("per_second", out.requestsPerSecond);
  r.duration("for", out.duration);
  r.value("connections", out.connections);
  r.duration("patience", out.clientTimeout);
  r.value("writes", out.writeShare);
  r.value("once", out.onceShare);
  r.done();
}

Event readEvent(const toml::table &in) {
  Event out;
  Reader r(in, "event.");
  r.duration("at", out.at);
  r.duration("for", out.lasts);
  r.duration("every", out.every);
  r.value("do", out.what);
  r.value("server", out.server);
  r.value("fault", out.fault);
  r.value("amount", out.amount);
  r.done();
  static const std::set<std::string> kKnown{"crash",     "hang",  "slow",   "errors", "resets",
                                            "drain",     "names", "lose",   "flap",   "offer",
                                            "offer_bad", "list",  "restart"};
  if (!kKnown.contains(out.what)) throw std::runtime_error("event.do is unknown: '" + out.what + "'");
  return out;
}

} // namespace

Scenario readScenario(const std::string &file) {
  Scenario out;
  try {
    const auto root = toml::parse_file(file);
    Reader r(root, "");
    r.value("name", out.name);
    std::int64_t seed = 1;
    r.value("seed", seed);
    out.seed = static_cast<std::uint64_t>(seed);
    r.value("settings", out.settings);
    if (const auto *t = r.get("fleet"); t != nullptr && t->is_table()) readFleet(*t->as_table(), out);
    if (const auto *t = r.get("load"); t != nullptr && t->is_table()) readLoad(*t->as_table(), out.load);
    if (const auto *a = r.get("event"); a != nullptr && a->is_array())
      for (const auto &item : *a->as_array()) out.events.push_back(readEvent(*item.as_table()));
    r.done();
  } catch (const toml::parse_error &e) {
    throw std::runtime_error(fmt::format("{}: line {}: {}", file, e.source().begin.line, e.description()));
  } catch (const std::runtime_error &e) {
    throw std::runtime_error(file + ": " + e.what());
  }
  return out;
}

Scenario drawScenario(std::uint64_t seed) {
  std::knuth_b chance(seed);
  const auto whole = [&](int from, int to) { return std::uniform_int_distribution<int>(from, to)(chance); };
  const auto part = [&](double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(chance);
  };
  Scenario out;
  out.name = "drawn " + std::to_string(seed);
  out.seed = seed;
  out.servers = whole(4, 12);
  out.work = {.cores = 8,
              .meanServiceTime = whole(5, 30) * kMillisecond,
              .serviceTimeSigma = part(0, 0.6),
              .maxQueueLength = 64,
              .warmupTime = 2 * kSecond,
              .warmupStartFraction = 0.4};
  out.named = whole(0, 2) > 0;
  out.listed = !out.named || whole(0, 2) > 0;
  out.namesForget = whole(0, 1) == 1;
  out.ttl = whole(1, 3);
  out.load = {.requestsPerSecond = part(50, 400),
              .duration = 12 * kSecond,
              .connections = 64,
              .clientTimeout = 500 * kMillisecond,
              .writeShare = part(0, 0.4),
              .onceShare = part(0, 0.2)};
  const char *kinds[] = {"crash", "hang", "slow",  "errors",    "resets", "drain",  "names",
                         "lose",  "flap", "offer", "offer_bad", "list",   "restart"};
  const char *faults[] = {"silent", "servfail", "truncate", "wrongId", "noise", "folds", "refused"};
  for (int n = whole(2, 6); n > 0; --n) {
    Event e;
    e.what = kinds[whole(0, 12)];
    e.at = whole(1000, 9000) * kMillisecond;
    e.lasts = whole(500, 4000) * kMillisecond;
    e.server = "s-" + std::to_string(whole(1, out.servers));
    e.fault = faults[whole(0, 6)];
    e.amount = e.what == "slow" ? part(2, 8) : part(0.2, 0.9);
    out.events.push_back(e);
  }
  return out;
}

std::string describe(const Event &e) {
  return fmt::format("{:.1f} s: {}{}{}{}{}", static_cast<double>(e.at) / 1e9, e.what,
                     e.what == "names"                          ? " " + e.fault
                     : e.what == "offer" || e.what == "restart" ? ""
                                                                : " " + e.server,
                     e.amount > 0 ? fmt::format(" {:.2f}", e.amount) : "",
                     e.lasts > 0 ? fmt::format(" for {:.1f} s", static_cast<double>(e.lasts) / 1e9) : "",
                     e.every > 0 ? fmt::format(" every {:.1f} s", static_cast<double>(e.every) / 1e9) : "");
}

} // namespace myrtlehead::lab
