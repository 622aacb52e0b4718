#include "app/bootstrap/bootstrap_config.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace myrtlehead::bootstrap {

namespace {

const json::Value &field(const json::Value &in, const char *name, json::Value::Kind kind) {
  const auto *v = in.find(name);
  if (v == nullptr) throw SetupError(std::string("the configuration has no '") + name + "'");
  if (v->kind != kind) throw SetupError(std::string("the configuration's '") + name + "' is of another type");
  return *v;
}

net::Address address(const json::Value &v, const char *name) {
  const auto a = v.kind == json::Value::string ? net::parseAddress(v.text) : std::nullopt;
  if (!a) throw SetupError(std::string("the configuration's '") + name + "' is no address");
  return *a;
}

net::Address address(const json::Value &in, const char *name, bool needed) {
  if (!needed && in.find(name) == nullptr) return {};
  return address(field(in, name, json::Value::string), name);
}

std::vector<std::string> names(const json::Value &settings, const char *list, const char *of) {
  std::vector<std::string> out;
  const auto *items = settings.find(list);
  if (items == nullptr) return out;
  for (const auto &item : items->items) {
    const auto *name = of == nullptr ? &item : item.find(of);
    out.push_back(name == nullptr ? "" : name->text);
  }
  return out;
}

std::uint64_t seedOf(const json::Value &v) {
  std::uint64_t seed = 0;
  const auto r = std::from_chars(v.text.data(), v.text.data() + v.text.size(), seed, 16);
  if (v.text.empty() || r.ec != std::errc{} || r.ptr != v.text.data() + v.text.size())
    throw SetupError("the configuration's 'seed' is no hexadecimal number");
  return seed;
}

} // namespace

std::string readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in || text.str().empty()) throw SetupError("can't read the configuration " + path);
  return text.str();
}

std::string needsRestart(const BootstrapConfig &from, const BootstrapConfig &to) {
  std::string out;
  for (const char *name : {"name", "listen", "peer_listen", "peers", "peers_all", "limits", "settings"}) {
    const auto *was = from.text.find(name), *is = to.text.find(name);
    if ((was == nullptr) == (is == nullptr) && (was == nullptr || *was == *is)) continue;
    out += (out.empty() ? "" : ", ") + std::string(name);
  }
  return out;
}

BootstrapConfig readStation(std::string_view text) {
  std::string error;
  const auto in = json::parse(text, &error);
  if (!in || in->kind != json::Value::object)
    throw SetupError("the configuration is no JSON object: " + error);
  BootstrapConfig s;
  s.name = field(*in, "name", json::Value::string).text;
  s.listen = address(*in, "listen", true);
  s.discovery = address(*in, "discovery", true);
  s.seed = seedOf(field(*in, "seed", json::Value::string));
  const auto &platform = field(*in, "platform", json::Value::object);
  s.platform = address(platform, "address", true);
  if (const auto *news = platform.find("news")) s.news = *news;
  if (const auto *known = in->find("known")) s.known = *known;

  const auto &settings = field(*in, "settings", json::Value::object);
  const auto paths = Paths::ofJson(settings);
  s.deployment = readDeployment(paths);
  s.routes = names(settings, "services", "name");
  for (std::size_t i = 0; i < s.routes.size(); ++i)
    s.routeTimeouts.push_back(paths.micros("services." + std::to_string(i) + ".deadlineUs", 60 * kSecond));
  s.zones = names(settings, "failureDomains", nullptr);
  if (const auto *report = settings.find("telemetry")) s.loadNames = names(*report, "fields", nullptr);
  s.connectWithin = paths.micros("limits.connectTimeoutUs", kSecond);
  s.idleAtMost = paths.micros("limits.connIdleUs", 30 * kSecond);
  s.callWithin = paths.micros("familyInfo.callTimeoutUs", kSecond);
  const auto own = Paths::ofJson(*in);
  s.descriptors = static_cast<int>(own.whole("limits.sockets", 1024, 64, 1'000'000));
  s.memory = static_cast<std::size_t>(own.whole("limits.memory_mb", 192, 16, 1'000'000)) << 20;

  s.peerListen = address(*in, "peer_listen", s.deployment.hasPeers);
  s.peersAll = address(*in, "peers_all", false);
  if (const auto *peers = in->find("peers"))
    for (const auto &peer : peers->items) s.peers.push_back(address(peer, "peers"));
  if (s.deployment.routes.empty()) throw SetupError("settings: there is no route");
  if (s.deployment.hasPeers && s.peers.size() != static_cast<std::size_t>(s.deployment.instanceCount))
    throw SetupError("the configuration's 'peers' has not one address for each marshal");
  s.text = *in;
  return s;
}

} // namespace myrtlehead::bootstrap
