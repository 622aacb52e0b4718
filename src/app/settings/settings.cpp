#include "app/settings/table_reader.h"

#include <charconv>

namespace myrtlehead::settings {

namespace {

constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr std::size_t kMaxSets = 64;
constexpr std::size_t kMaxServers = 16;
constexpr std::size_t kMaxLabelLength = 63;            // of a label of a domain name, by RFC 1035
constexpr std::size_t kMaxNameLength = 253;            // of a domain name in text form, by RFC 1035
constexpr double kMaxDurationNs = 100 * 366 * 86400e9; // 100 years

void readLog(const toml::table &in, Settings &out, std::vector<SettingsError> &errors) {
  TableReader reader(in, "log.", errors);
  reader.string("level", "debug, info, warning or error, or levels by package such as \"info,nodes=debug\"",
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

void readMetrics(const toml::table &in, Settings &out, std::vector<SettingsError> &errors) {
  TableReader reader(in, "metrics.", errors);
  reader.string("listen", "an address and port such as \"127.0.0.1:9464\"", [&](const std::string &text) {
    out.metricsAddress = net::parseAddress(text);
    return out.metricsAddress.has_value();
  });
}

void readState(const toml::table &in, Settings &out, std::vector<SettingsError> &errors) {
  TableReader reader(in, "state.", errors);
  reader.string("folder", "the path of a folder", [&](const std::string &text) {
    out.stateFolder = text;
    return !text.empty();
  });
}

bool isValidDomainName(std::string_view name) {
  if (name.ends_with('.')) name.remove_suffix(1);
  std::size_t labelLength = 0;
  for (const char c : name) {
    labelLength = c == '.' ? 0 : labelLength + 1;
    if (labelLength > kMaxLabelLength || static_cast<unsigned char>(c) <= 0x20 ||
        static_cast<unsigned char>(c) >= 0x7f)
      return false;
  }
  return !name.empty() && name.size() <= kMaxNameLength && name.find("..") == std::string_view::npos &&
         name[0] != '.';
}

void readSrvName(const toml::table &in, const std::string &path, const std::vector<std::string> &zones,
                 dns_discovery::DnsSettings &out, std::vector<SettingsError> &errors) {
  dns_discovery::SrvNameSettings srvName;
  {
    TableReader reader(in, path, errors);
    reader.string("name", "a domain name such as \"_pg._tcp.maps.example\"", [&](const std::string &text) {
      srvName.name = text;
      return isValidDomainName(text);
    });
    reader.integer("release", 0, 65535, srvName.release);
    reader.string("zone", "one of the deployment's zones", [&](const std::string &text) {
      const auto zone = std::find(zones.begin(), zones.end(), text);
      srvName.zone = zone == zones.end() ? -1 : static_cast<int>(zone - zones.begin());
      return zones.empty() || zone != zones.end();
    });
  }
  if (srvName.name.empty())
    errors.push_back({static_cast<int>(in.source().begin.line), path + "name", "required, but missing"});
  out.srvNames.push_back(std::move(srvName));
}

void readSrvNames(TableReader &reader, const std::vector<std::string> &zones, dns_discovery::DnsSettings &out,
                  std::vector<SettingsError> &errors) {
  const auto *node = reader.find("set");
  if (node == nullptr) return;
  const auto *sets = node->as_array();
  if (sets == nullptr || sets->empty() || sets->size() > kMaxSets || !sets->is_homogeneous<toml::table>())
    return reader.addError(*node, "set", "1 to 64 tables [[names.set]]");
  for (std::size_t i = 0; i < sets->size(); ++i)
    readSrvName(*sets->get_as<toml::table>(i), "names.set[" + std::to_string(i) + "].", zones, out, errors);
}

void readServers(TableReader &reader, dns_discovery::DnsSettings &out) {
  const auto *node = reader.find("servers");
  if (node == nullptr) return;
  const auto *servers = node->as_array();
  if (servers == nullptr || servers->empty() || servers->size() > kMaxServers)
    return reader.addError(*node, "servers", "a list of 1 to 16 addresses");
  for (const auto &item : *servers) {
    const auto text = item.value_exact<std::string>();
    const auto address = text ? net::parseAddress(*text) : std::nullopt;
    if (address)
      out.servers.push_back(*address);
    else
      reader.addError(item, "servers", "an address and port such as \"127.0.0.1:53\"");
  }
}

void readDns(const toml::table &in, const std::vector<std::string> &zones, Settings &out,
             std::vector<SettingsError> &errors) {
  auto &dns = out.dns;
  TableReader reader(in, "names.", errors);
  readServers(reader, dns);
  readSrvNames(reader, zones, dns, errors);
  reader.duration("start_spread", 0, 600 * kSecond, dns.startSpread);
  reader.duration("least_lifetime", 100 * kMillisecond, kDay, dns.resolution.minTtl);
  reader.duration("most_lifetime", kSecond, 7 * kDay, dns.resolution.maxTtl);
  reader.duration("stale_most", 0, 30 * kDay, dns.resolution.staleTime);
  reader.duration("loss_hold", 0, 3600 * kSecond, dns.merge.lossRetention.retentionTime);
  reader.duration("departed_for", kSecond, 7 * kDay, dns.merge.departedMemoryTime);
  reader.integer("subset", 0, 20'000, dns.subsetSize);
  const int line = static_cast<int>(in.source().begin.line);
  if (dns.resolution.minTtl > dns.resolution.maxTtl)
    errors.push_back({line, "names.least_lifetime", "must not be above names.most_lifetime"});
  if (dns.servers.empty() != dns.srvNames.empty())
    errors.push_back({line, "names", "expected both 'servers' and [[names.set]], or neither"});
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
    if (name == unit && value * factor <= kMaxDurationNs) return std::llround(value * factor);
  return std::nullopt;
}

std::string formatError(const std::string &file, const SettingsError &error) {
  return file + (error.line > 0 ? ":" + std::to_string(error.line) : "") + ": " +
         (error.key.empty() ? "" : error.key + ": ") + error.message;
}

SettingsResult readSettings(std::string_view text, const std::vector<std::string> &zones) {
  SettingsResult out;
  if (text.size() > kMaxFileBytes) {
    out.errors.push_back({0, "", "expected at most 1 MiB, found " + std::to_string(text.size()) + " bytes"});
    return out;
  }
  try {
    const auto root = toml::parse(text);
    TableReader reader(root, "", out.errors);
    if (const auto *table = reader.table("log")) readLog(*table, out.settings, out.errors);
    if (const auto *table = reader.table("metrics")) readMetrics(*table, out.settings, out.errors);
    if (const auto *table = reader.table("state")) readState(*table, out.settings, out.errors);
    if (const auto *table = reader.table("names")) readDns(*table, zones, out.settings, out.errors);
    if (const auto *table = reader.table("fleet")) readClusterSettings(*table, out.settings, out.errors);
  } catch (const toml::parse_error &e) {
    out.errors.push_back({static_cast<int>(e.source().begin.line), "", std::string(e.description())});
  }
  std::stable_sort(out.errors.begin(), out.errors.end(),
                   [](const SettingsError &a, const SettingsError &b) { return a.line < b.line; });
  return out;
}

std::string fieldsNeedingRestart(const Settings &started, const Settings &reloaded) {
  std::string out;
  const auto differs = [&](bool isDifferent, const char *key) {
    if (isDifferent) out += (out.empty() ? "" : ", ") + std::string(key);
  };
  differs(started.logForm != reloaded.logForm, "log.form");
  differs(started.metricsAddress != reloaded.metricsAddress, "metrics.listen");
  differs(started.stateFolder != reloaded.stateFolder, "state.folder");
  differs(started.dns.srvNames != reloaded.dns.srvNames, "names.set");
  differs(started.dns.subsetSize != reloaded.dns.subsetSize, "names.subset");
  differs(!(started.dns.resolution == reloaded.dns.resolution) || !(started.dns.merge == reloaded.dns.merge),
          "names' durations");
  differs(started.cluster != reloaded.cluster, "fleet");
  return out;
}

} // namespace myrtlehead::settings
