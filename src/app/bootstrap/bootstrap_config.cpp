#include "app/bootstrap/bootstrap_config.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace myrtlehead::bootstrap {

namespace {

constexpr std::size_t kMebibyte = 1 << 20; // bytes

enum class Presence { required, optional };

const json::Value &field(const json::Value &in, const char *name, json::Value::Kind kind) {
  const auto *value = in.find(name);
  if (value == nullptr) throw ConfigError(std::string("the configuration has no '") + name + "'");
  if (value->kind != kind)
    throw ConfigError(std::string("the configuration's '") + name + "' has the wrong type");
  return *value;
}

net::Address parseAddress(const json::Value &value, const char *name) {
  const auto address = value.kind == json::Value::string ? net::parseAddress(value.text) : std::nullopt;
  if (!address)
    throw ConfigError(std::string("the configuration's '") + name +
                      "' is not an IP address and port such as 127.0.0.1:8080");
  return *address;
}

net::Address addressField(const json::Value &in, const char *name, Presence presence) {
  if (presence == Presence::optional && in.find(name) == nullptr) return {};
  return parseAddress(field(in, name, json::Value::string), name);
}

// Returns the strings of the list `list`, or an empty vector if there is no such list.
std::vector<std::string> stringList(const json::Value &in, const char *list) {
  std::vector<std::string> out;
  const auto *items = in.find(list);
  if (items == nullptr) return out;
  for (const auto &item : items->items) out.push_back(item.text);
  return out;
}

// Returns the string field `field` of each object in the list `list`; "" for an object without the field.
std::vector<std::string> stringFieldOfEach(const json::Value &in, const char *list, const char *field) {
  std::vector<std::string> out;
  const auto *items = in.find(list);
  if (items == nullptr) return out;
  for (const auto &item : items->items) {
    const auto *value = item.find(field);
    out.push_back(value == nullptr ? "" : value->text);
  }
  return out;
}

std::uint64_t parseSeed(const json::Value &value) {
  const auto &text = value.text;
  std::uint64_t seed = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size())
    throw ConfigError("the configuration's 'seed' is not a hexadecimal number");
  return seed;
}

void readInstanceFields(const json::Value &in, BootstrapConfig &out) {
  out.name = field(in, "name", json::Value::string).text;
  out.listenAddress = addressField(in, "listen", Presence::required);
  out.discoveryAddress = addressField(in, "discovery", Presence::required);
  out.seed = parseSeed(field(in, "seed", json::Value::string));
  const auto &platform = field(in, "platform", json::Value::object);
  out.platformAddress = addressField(platform, "address", Presence::required);
  if (const auto *state = platform.find("news")) out.rolloutState = *state;
  if (const auto *known = in.find("known")) out.knownEndpoints = *known;
}

void readDeploymentSettings(const json::Value &settings, BootstrapConfig &out) {
  const auto paths = ConfigPaths::fromJson(settings);
  out.deployment = readDeployment(paths);
  out.routeNames = stringFieldOfEach(settings, "services", "name");
  for (std::size_t i = 0; i < out.routeNames.size(); ++i)
    out.routeTimeouts.push_back(
        paths.microseconds("services." + std::to_string(i) + ".deadlineUs", 60 * kSecond));
  out.zoneNames = stringList(settings, "failureDomains");
  if (const auto *report = settings.find("telemetry")) out.loadReportNames = stringList(*report, "fields");
  out.connectTimeout = paths.microseconds("limits.connectTimeoutUs", kSecond);
  out.idleTimeout = paths.microseconds("limits.connIdleUs", 30 * kSecond);
  out.controlCallTimeout = paths.microseconds("familyInfo.callTimeoutUs", kSecond);
}

void readResourceLimits(const json::Value &in, BootstrapConfig &out) {
  const auto paths = ConfigPaths::fromJson(in);
  out.maxDescriptors = static_cast<int>(paths.integer("limits.sockets", 1024, 64, 1'000'000));
  out.memoryBytes = static_cast<std::size_t>(paths.integer("limits.memory_mb", 192, 16, 1'000'000)) *
                    kMebibyte;
}

void readPeers(const json::Value &in, BootstrapConfig &out) {
  const bool hasPeers = out.deployment.hasPeers;
  out.peerListenAddress = addressField(in, "peer_listen", hasPeers ? Presence::required : Presence::optional);
  out.allPeersAddress = addressField(in, "peers_all", Presence::optional);
  if (const auto *peers = in.find("peers"))
    for (const auto &peer : peers->items) out.peerAddresses.push_back(parseAddress(peer, "peers"));
  if (out.deployment.routes.empty()) throw ConfigError("settings: services must list at least one route");
  if (hasPeers && out.peerAddresses.size() != static_cast<std::size_t>(out.deployment.instanceCount))
    throw ConfigError(
        "the configuration's 'peers' must have one address for each of the peersTotal instances");
}

} // namespace

std::string readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in || text.str().empty()) throw ConfigError("cannot read the file " + path + ", or it is empty");
  return text.str();
}

std::string fieldsNeedingRestart(const BootstrapConfig &started, const BootstrapConfig &reloaded) {
  std::string out;
  for (const char *name : {"name", "listen", "peer_listen", "peers", "peers_all", "limits", "settings"}) {
    const auto *before = started.document.find(name);
    const auto *after = reloaded.document.find(name);
    const bool isSame = before == nullptr || after == nullptr ? before == after : *before == *after;
    if (!isSame) out += (out.empty() ? "" : ", ") + std::string(name);
  }
  return out;
}

BootstrapConfig readBootstrapConfig(std::string_view text) {
  std::string error;
  const auto in = json::parse(text, &error);
  if (!in || in->kind != json::Value::object)
    throw ConfigError("the configuration is not a JSON object: " + error);
  BootstrapConfig out;
  readInstanceFields(*in, out);
  readDeploymentSettings(field(*in, "settings", json::Value::object), out);
  readResourceLimits(*in, out);
  readPeers(*in, out);
  out.document = *in;
  return out;
}

} // namespace myrtlehead::bootstrap
