#include "app/settings/table_reader.h"

#include <charconv>

namespace myrtlehead::settings {

namespace {

constexpr std::size_t kMostText = 1 << 20, kMostSets = 64, kMostServers = 16;

void readLog(const toml::table &in, Settings &out, std::vector<Fault> &faults) {
  Reader r(in, "log.", faults);
  r.word("level", "debug, info, warning or error, or one for a package such as \"info,nodes=debug\"",
         [&](const std::string &text) {
           const auto levels = log::parseLevels(text);
           if (levels) out.levels = *levels;
           return levels.has_value();
         });
  r.word("form", "text or json", [&](const std::string &text) {
    out.form = text == "json" ? log::Format::json : log::Format::text;
    return text == "json" || text == "text";
  });
}

void readMetrics(const toml::table &in, Settings &out, std::vector<Fault> &faults) {
  Reader r(in, "metrics.", faults);
  r.word("listen", "an address and port such as \"127.0.0.1:9464\"", [&](const std::string &text) {
    out.metrics = net::parseAddress(text);
    return out.metrics.has_value();
  });
}

void readState(const toml::table &in, Settings &out, std::vector<Fault> &faults) {
  Reader r(in, "state.", faults);
  r.word("folder", "the path of a folder", [&](const std::string &text) {
    out.stateFolder = text;
    return !text.empty();
  });
}

bool validName(std::string_view name) {
  if (name.ends_with('.')) name.remove_suffix(1);
  std::size_t label = 0;
  for (const char c : name) {
    label = c == '.' ? 0 : label + 1;
    if (label > 63 || static_cast<unsigned char>(c) <= 0x20 || static_cast<unsigned char>(c) >= 0x7f)
      return false;
  }
  return !name.empty() && name.size() <= 253 && name.find("..") == std::string_view::npos && name[0] != '.';
}

void readSet(const toml::table &in, const std::string &path, const std::vector<std::string> &zones,
             dns_discovery::DnsSettings &out, std::vector<Fault> &faults) {
  dns_discovery::SrvNameSettings set;
  {
    Reader r(in, path, faults);
    r.word("name", "a domain name such as \"_pg._tcp.maps.example\"", [&](const std::string &text) {
      set.name = text;
      return validName(text);
    });
    r.whole("release", 0, 65535, set.release);
    r.word("zone", "one of the deployment's zones", [&](const std::string &text) {
      const auto at = std::find(zones.begin(), zones.end(), text);
      set.zone = at == zones.end() ? -1 : static_cast<int>(at - zones.begin());
      return zones.empty() || at != zones.end();
    });
  }
  if (set.name.empty())
    faults.push_back({static_cast<int>(in.source().begin.line), path + "name", "expected, but missing"});
  out.sets.push_back(std::move(set));
}

void readSets(Reader &r, const std::vector<std::string> &zones, dns_discovery::DnsSettings &out,
              std::vector<Fault> &faults) {
  const auto *node = r.find("set");
  if (node == nullptr) return;
  const auto *sets = node->as_array();
  if (sets == nullptr || sets->empty() || sets->size() > kMostSets || !sets->is_homogeneous<toml::table>())
    return r.fault(*node, "set", "1 to 64 tables [[names.set]]");
  for (std::size_t i = 0; i < sets->size(); ++i)
    readSet(*sets->get_as<toml::table>(i), "names.set[" + std::to_string(i) + "].", zones, out, faults);
}

void readServers(Reader &r, dns_discovery::DnsSettings &out) {
  const auto *node = r.find("servers");
  if (node == nullptr) return;
  const auto *servers = node->as_array();
  if (servers == nullptr || servers->empty() || servers->size() > kMostServers)
    return r.fault(*node, "servers", "a list of 1 to 16 addresses");
  for (const auto &item : *servers) {
    const auto text = item.value_exact<std::string>();
    const auto at = text ? net::parseAddress(*text) : std::nullopt;
    if (at)
      out.servers.push_back(*at);
    else
      r.fault(item, "servers", "an address and port such as \"127.0.0.1:53\"");
  }
}

void readNames(const toml::table &in, const std::vector<std::string> &zones, Settings &out,
               std::vector<Fault> &faults) {
  auto &naming = out.naming;
  Reader r(in, "names.", faults);
  readServers(r, naming);
  readSets(r, zones, naming, faults);
  r.duration("start_spread", 0, 600 * kSecond, naming.startSpread);
  r.duration("least_lifetime", 100 * kMillisecond, kDay, naming.resolution.minTtl);
  r.duration("most_lifetime", kSecond, 7 * kDay, naming.resolution.maxTtl);
  r.duration("stale_most", 0, 30 * kDay, naming.resolution.staleTime);
  r.duration("loss_hold", 0, 3600 * kSecond, naming.merge.lossRetention.retentionTime);
  r.duration("departed_for", kSecond, 7 * kDay, naming.merge.departedMemoryTime);
  r.whole("subset", 0, 20'000, naming.subset);
  const int line = static_cast<int>(in.source().begin.line);
  if (naming.resolution.minTtl > naming.resolution.maxTtl)
    faults.push_back({line, "names.least_lifetime", "is above most_lifetime"});
  if (naming.servers.empty() != naming.sets.empty())
    faults.push_back({line, "names", "expected both 'servers' and [[names.set]], or neither"});
}

} // namespace

std::optional<Nanoseconds> parseDuration(std::string_view text) {
  double value = 0;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), value);
  if (r.ec != std::errc{} || value < 0 || !std::isfinite(value)) return std::nullopt;
  const std::string_view unit(r.ptr, static_cast<std::size_t>(text.data() + text.size() - r.ptr));
  constexpr std::pair<std::string_view, double> kUnits[] = {
      {"ns", 1}, {"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"m", 60e9}, {"h", 3600e9}, {"d", 86400e9}};
  for (const auto &[name, factor] : kUnits)
    if (name == unit && value * factor <= 100 * 366 * 86400e9) return std::llround(value * factor);
  return std::nullopt;
}

std::string text(const std::string &file, const Fault &fault) {
  return file + (fault.line > 0 ? ":" + std::to_string(fault.line) : "") + ": " +
         (fault.key.empty() ? "" : fault.key + ": ") + fault.what;
}

SettingsResult readSettings(std::string_view text, const std::vector<std::string> &zones) {
  SettingsResult out;
  if (text.size() > kMostText) {
    out.faults.push_back({0, "", "expected at most 1 MiB, found " + std::to_string(text.size()) + " bytes"});
    return out;
  }
  try {
    const auto root = toml::parse(text);
    Reader r(root, "", out.faults);
    if (const auto *t = r.table("log")) readLog(*t, out.installation, out.faults);
    if (const auto *t = r.table("metrics")) readMetrics(*t, out.installation, out.faults);
    if (const auto *t = r.table("state")) readState(*t, out.installation, out.faults);
    if (const auto *t = r.table("names")) readNames(*t, zones, out.installation, out.faults);
    if (const auto *t = r.table("fleet")) readFleet(*t, out.installation, out.faults);
  } catch (const toml::parse_error &e) {
    out.faults.push_back({static_cast<int>(e.source().begin.line), "", std::string(e.description())});
  }
  std::stable_sort(out.faults.begin(), out.faults.end(),
                   [](const Fault &a, const Fault &b) { return a.line < b.line; });
  return out;
}

std::string needsRestart(const Settings &from, const Settings &to) {
  std::string out;
  const auto differs = [&](bool is, const char *key) {
    if (is) out += (out.empty() ? "" : ", ") + std::string(key);
  };
  differs(from.form != to.form, "log.form");
  differs(from.metrics != to.metrics, "metrics.listen");
  differs(from.stateFolder != to.stateFolder, "state.folder");
  differs(from.naming.sets != to.naming.sets, "names.set");
  differs(from.naming.subset != to.naming.subset, "names.subset");
  differs(!(from.naming.resolution == to.naming.resolution) || !(from.naming.merge == to.naming.merge),
          "names' durations");
  differs(from.fleet != to.fleet, "fleet");
  return out;
}

} // namespace myrtlehead::settings
