#include "app/settings/table_reader.h"

#include <charconv>

namespace myrtlehead::settings {

namespace {

constexpr std::size_t kMaxBytes = 1 << 20;
constexpr std::size_t kMaxSets = 64;
constexpr std::size_t kMaxServers = 16;
constexpr std::size_t kMaxLabelLength = 63;          // of a domain name, by RFC 1035
constexpr std::size_t kMaxNameLength = 253;          // in text form
constexpr double kMaxDuration = 100 * 366 * 86400e9; // ns

void readLog(const toml::table &in, Settings &out, std::vector<SettingsFault> &faults) {
  TableReader reader(in, "log.", faults);
  reader.string("level", "debug, info, warning or error, or one for a package such as \"info,nodes=debug\"",
                [&](const std::string &text) {
                  const auto levels = log::parseLevels(text);
                  if (levels) out.logLevels = *levels;
                  return levels.has_value();
                });
  reader.string("form", "text or json", [&](const std::string &text) {
    out.logForm = text == "json" ? log::Format::json : log::Format::text;
    return text == "json" || text == "text";
  });
}

void readMetrics(const toml::table &in, Settings &out, std::vector<SettingsFault> &faults) {
  TableReader reader(in, "metrics.", faults);
  reader.string("listen", "an address and port such as \"127.0.0.1:9464\"", [&](const std::string &text) {
    out.metricsAddress = net::parseAddress(text);
    return out.metricsAddress.has_value();
  });
}

void readState(const toml::table &in, Settings &out, std::vector<SettingsFault> &faults) {
  TableReader reader(in, "state.", faults);
  reader.string("folder", "the path of a folder", [&](const std::string &text) {
    out.stateFolder = text;
    return !text.empty();
  });
}

bool isValidDomainName(std::string_view name) {
  if (name.ends_with('.')) name.remove_suffix(1);
  std::size_t label = 0;
  for (const char c : name) {
    label = c == '.' ? 0 : label + 1;
    if (label > kMaxLabelLength || static_cast<unsigned char>(c) <= 0x20 ||
        static_cast<unsigned char>(c) >= 0x7f)
      return false;
  }
  return !name.empty() && name.size() <= kMaxNameLength && name.find("..") == std::string_view::npos &&
         name[0] != '.';
}

void readSet(const toml::table &in, const std::string &path, const std::vector<std::string> &zones,
             dns_discovery::DnsSettings &out, std::vector<SettingsFault> &faults) {
  dns_discovery::SrvNameSettings set;
  {
    TableReader reader(in, path, faults);
    reader.string("name", "a domain name such as \"_pg._tcp.maps.example\"", [&](const std::string &text) {
      set.name = text;
      return isValidDomainName(text);
    });
    reader.integer("release", 0, 65535, set.release);
    reader.string("zone", "one of the deployment's zones", [&](const std::string &text) {
      const auto at = std::find(zones.begin(), zones.end(), text);
      set.zone = at == zones.end() ? -1 : static_cast<int>(at - zones.begin());
      return zones.empty() || at != zones.end();
    });
  }
  if (set.name.empty())
    faults.push_back({static_cast<int>(in.source().begin.line), path + "name", "expected, but missing"});
  out.srvNames.push_back(std::move(set));
}

void readSets(TableReader &reader, const std::vector<std::string> &zones, dns_discovery::DnsSettings &out,
              std::vector<SettingsFault> &faults) {
  const auto *node = reader.find("set");
  if (node == nullptr) return;
  const auto *sets = node->as_array();
  if (sets == nullptr || sets->empty() || sets->size() > kMaxSets || !sets->is_homogeneous<toml::table>())
    return reader.addFault(*node, "set", "1 to 64 tables [[names.set]]");
  for (std::size_t i = 0; i < sets->size(); ++i)
    readSet(*sets->get_as<toml::table>(i), "names.set[" + std::to_string(i) + "].", zones, out, faults);
}

void readServers(TableReader &reader, dns_discovery::DnsSettings &out) {
  const auto *node = reader.find("servers");
  if (node == nullptr) return;
  const auto *servers = node->as_array();
  if (servers == nullptr || servers->empty() || servers->size() > kMaxServers)
    return reader.addFault(*node, "servers", "a list of 1 to 16 addresses");
  for (const auto &item : *servers) {
    const auto text = item.value_exact<std::string>();
    const auto at = text ? net::parseAddress(*text) : std::nullopt;
    if (at)
      out.servers.push_back(*at);
    else
      reader.addFault(item, "servers", "an address and port such as \"127.0.0.1:53\"");
  }
}

void readDns(const toml::table &in, const std::vector<std::string> &zones, Settings &out,
             std::vector<SettingsFault> &faults) {
  auto &dns = out.dns;
  TableReader reader(in, "names.", faults);
  readServers(reader, dns);
  readSets(reader, zones, dns, faults);
  reader.duration("start_spread", 0, 600 * kSecond, dns.startSpread);
  reader.duration("least_lifetime", 100 * kMillisecond, kDay, dns.resolution.minTtl);
  reader.duration("most_lifetime", kSecond, 7 * kDay, dns.resolution.maxTtl);
  reader.duration("stale_most", 0, 30 * kDay, dns.resolution.staleTime);
  reader.duration("loss_hold", 0, 3600 * kSecond, dns.merge.lossRetention.retentionTime);
  reader.duration("departed_for", kSecond, 7 * kDay, dns.merge.departedMemoryTime);
  reader.integer("subset", 0, 20'000, dns.subsetSize);
  const int line = static_cast<int>(in.source().begin.line);
  if (dns.resolution.minTtl > dns.resolution.maxTtl)
    faults.push_back({line, "names.least_lifetime", "is above most_lifetime"});
  if (dns.servers.empty() != dns.srvNames.empty())
    faults.push_back({line, "names", "expected both 'servers' and [[names.set]], or neither"});
}

} // namespace

std::optional<Nanoseconds> parseDuration(std::string_view text) {
  double value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc{} || value < 0 || !std::isfinite(value)) return std::nullopt;
  const std::string_view unit(result.ptr, static_cast<std::size_t>(text.data() + text.size() - result.ptr));
  constexpr std::pair<std::string_view, double> kUnits[] = {
      {"ns", 1}, {"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"m", 60e9}, {"h", 3600e9}, {"d", 86400e9}};
  for (const auto &[name, factor] : kUnits)
    if (name == unit && value * factor <= kMaxDuration) return std::llround(value * factor);
  return std::nullopt;
}

std::string text(const std::string &file, const SettingsFault &fault) {
  return file + (fault.line > 0 ? ":" + std::to_string(fault.line) : "") + ": " +
         (fault.key.empty() ? "" : fault.key + ": ") + fault.what;
}

SettingsResult readSettings(std::string_view text, const std::vector<std::string> &zones) {
  SettingsResult out;
  if (text.size() > kMaxBytes) {
    out.faults.push_back({0, "", "expected at most 1 MiB, found " + std::to_string(text.size()) + " bytes"});
    return out;
  }
  try {
    const auto root = toml::parse(text);
    TableReader reader(root, "", out.faults);
    if (const auto *t = reader.table("log")) readLog(*t, out.settings, out.faults);
    if (const auto *t = reader.table("metrics")) readMetrics(*t, out.settings, out.faults);
    if (const auto *t = reader.table("state")) readState(*t, out.settings, out.faults);
    if (const auto *t = reader.table("names")) readDns(*t, zones, out.settings, out.faults);
    if (const auto *t = reader.table("fleet")) readClusterSettings(*t, out.settings, out.faults);
  } catch (const toml::parse_error &e) {
    out.faults.push_back({static_cast<int>(e.source().begin.line), "", std::string(e.description())});
  }
  std::stable_sort(out.faults.begin(), out.faults.end(),
                   [](const SettingsFault &a, const SettingsFault &b) { return a.line < b.line; });
  return out;
}

std::string fieldsNeedingRestart(const Settings &from, const Settings &to) {
  std::string out;
  const auto differs = [&](bool is, const char *key) {
    if (is) out += (out.empty() ? "" : ", ") + std::string(key);
  };
  differs(from.logForm != to.logForm, "log.form");
  differs(from.metricsAddress != to.metricsAddress, "metrics.listen");
  differs(from.stateFolder != to.stateFolder, "state.folder");
  differs(from.dns.srvNames != to.dns.srvNames, "names.set");
  differs(from.dns.subsetSize != to.dns.subsetSize, "names.subset");
  differs(!(from.dns.resolution == to.dns.resolution) || !(from.dns.merge == to.dns.merge),
          "names' durations");
  differs(from.cluster != to.cluster, "fleet");
  return out;
}

} // namespace myrtlehead::settings
