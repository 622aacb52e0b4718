#include "lab/fleet.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace myrtlehead::lab {

namespace {

using net::ErrorCode;
using net::Nanoseconds;

constexpr Nanoseconds kNodeStartTime = 1000 * kMillisecond, kDrainTime = 1500 * kMillisecond;

long long unixMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::string makeResponse(const char *status, std::string_view type, const std::string &body) {
  std::string out = std::string("HTTP/1.1 ") + status + "\r\nContent-Type: ";
  return out.append(type).append("\r\nContent-Length: ") + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const char *type) {
  return std::string("HTTP/1.1 200 OK\r\nContent-Type: ") + type + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &text) {
  constexpr const char *kHex = "0123456789abcdef";
  std::string size;
  for (auto n = text.size(); n > 0; n /= 16) size.insert(size.begin(), kHex[n % 16]);
  return size + "\r\n" + text + "\r\n";
}

int parseNumber(std::string_view text, int fallback) {
  int v = fallback;
  std::from_chars(text.data(), text.data() + text.size(), v);
  return v;
}

} // namespace

Fleet::Fleet(net::Scheduler &sched, net::DescriptorBudget &budget, const Settings &settings)
    : sched_(sched), budget_(budget), discovery_(net::listenTcp(sched, budget, settings.discoveryAddress)),
      platform_(net::listenTcp(sched, budget, settings.platformAddress)), stageCaps_(settings.stageCaps),
      work_(settings.work), seed_(settings.seed), releasedBuild_(settings.build),
      newestBuild_(settings.build), stage_(static_cast<int>(stageCaps_.size()) - 1),
      rolloutUpdatedAt_(sched.now()) {
  for (const auto &[name, at] : settings.nodes) startNode(name, at, newestBuild_, false, 0);
  sched_.spawn(acceptConnections(*discovery_, &Fleet::answerDiscovery));
  sched_.spawn(acceptConnections(*platform_, &Fleet::answerPlatform));
}

std::string Fleet::text(const net::Socket &listener) {
  return "127.0.0.1:" + std::to_string(net::localAddress(listener).port());
}

Fleet::Endpoint &Fleet::startNode(std::string name, net::Address address, int build, bool isBad,
                                  long long startedAtUnixMs) {
  auto &endpoint = endpoints_.emplace_back();
  endpoint.name = std::move(name);
  endpoint.build = build;
  endpoint.startedAtUnixMs = startedAtUnixMs;
  ++startedNodes_;
  endpoint.node = std::make_unique<EmulatedNode>(sched_, budget_, address, endpoint.name, build, work_,
                                                 seed_ + static_cast<std::uint64_t>(startedNodes_), ledger,
                                                 startedAtUnixMs != 0);
  if (isBad) endpoint.node->faults.errorShare = 1;
  endpoint.node->runsCandidateBuild = isRolloutActive() && build == newestBuild_;
  markChanged(endpoint);
  return endpoint;
}

void Fleet::markChanged(Endpoint &endpoint) {
  endpoint.version = ++listVersion_;
  listChanged_.notify();
}

std::string Fleet::endpointListJson(bool isSnapshot, std::uint64_t afterVersion) const {
  std::string out = "{\"index\":" + std::to_string(listVersion_) +
                    ",\"snapshot\":" + (isSnapshot ? "true" : "false") + ",\"endpoints\":[";
  bool isFirst = true;
  for (const auto &n : endpoints_) {
    if (listsNoEndpoints || (isSnapshot ? n.status == "terminated" : n.version <= afterVersion)) continue;
    if (!std::exchange(isFirst, false)) out += ',';
    out += "{\"name\":\"" + n.name + "\",\"address\":\"" + net::formatAddress(n.node->address()) +
           "\",\"zone\":\"here\",\"type\":\"toy\",\"group\":0,\"status\":\"" + n.status +
           "\",\"weight\":1.0,\"since_ms\":" + std::to_string(n.startedAtUnixMs) +
           ",\"release\":" + std::to_string(n.build) + "}";
  }
  return out + "]}";
}

std::string Fleet::rolloutState() const {
  return http::writeForm({{"build", std::to_string(newestBuild_)},
                          {"stage", std::to_string(stage_)},
                          {"phase", phase_},
                          {"cap", std::to_string(exposureCap_)},
                          {"age_ms", std::to_string((sched_.now() - rolloutUpdatedAt_) / kMillisecond)}});
}

void Fleet::setRollout(int stage, const char *phase, double exposureCap) {
  stage_ = stage;
  phase_ = phase;
  exposureCap_ = exposureCap;
  rolloutUpdatedAt_ = sched_.now();
  ++rolloutUpdates_;
  for (auto &n : endpoints_) n.node->runsCandidateBuild = isRolloutActive() && n.build == newestBuild_;
  rolloutChanged_.notify();
}

bool Fleet::offerBuild(int build, bool isBad) {
  if (build <= newestBuild_ || build > 65535 || phase_ == "Progressing" || phase_ == "Aborting") return false;
  newestBuild_ = build;
  isNewestBuildBad_ = isBad;
  setRollout(0, "Progressing", stageCaps_.front());
  sched_.spawn(startStageNodes());
  return true;
}

bool Fleet::drainNode(const std::string &name) {
  const auto it = std::find_if(endpoints_.begin(), endpoints_.end(),
                               [&](const Endpoint &n) { return n.name == name && n.status == "in_service"; });
  if (it != endpoints_.end()) sched_.spawn(drain(*it));
  return it != endpoints_.end();
}

net::Task<> Fleet::drain(Endpoint &endpoint) {
  endpoint.status = "terminating";
  endpoint.node->onDraining(sched_.now());
  markChanged(endpoint);
  co_await sched_.sleep(kDrainTime);
  endpoint.status = "terminated";
  markChanged(endpoint);
}

net::Task<> Fleet::drainNodeFor(std::string name, net::Nanoseconds duration) {
  const auto it = std::find_if(endpoints_.begin(), endpoints_.end(),
                               [&](const Endpoint &n) { return n.name == name && n.status == "in_service"; });
  if (it == endpoints_.end()) co_return;
  it->status = "terminating";
  markChanged(*it);
  // The drain counts from when discovery can announce it.
  while (isDiscoverySilent) co_await sched_.sleep(10 * kMillisecond);
  it->node->onDraining(sched_.now());
  co_await sched_.sleep(duration);
  it->node->onDrainEnded();
  it->status = "in_service";
  markChanged(*it);
}

EmulatedNode *Fleet::findNode(const std::string &name) {
  for (auto &n : endpoints_)
    if (n.name == name) return n.node.get();
  return nullptr;
}

std::vector<std::string> Fleet::nodesInService() const {
  std::vector<std::string> out;
  for (const auto &n : endpoints_)
    if (n.status == "in_service") out.push_back(n.name);
  return out;
}

std::vector<std::string> Fleet::dnsRecords(const std::string &service, int ttlSeconds,
                                           bool omitsTerminating) const {
  std::vector<std::string> out;
  const auto ttlAndClass = " " + std::to_string(ttlSeconds) + " IN ";
  for (const auto &n : endpoints_) {
    if (n.status == "terminated" || (omitsTerminating && n.status != "in_service")) continue;
    const auto at = net::formatAddress(n.node->address());
    const auto colon = at.rfind(':');
    const auto host = n.name + ".maps.example.";
    out.push_back(service + "." + ttlAndClass + "SRV 0 1 " + at.substr(colon + 1) + " " + host);
    out.push_back(host + ttlAndClass + "A " + at.substr(0, colon));
    out.push_back(host + ttlAndClass + "TXT \"release=" + std::to_string(n.build) + "\"");
  }
  return out;
}

net::Task<> Fleet::startStageNodes() {
  co_await sched_.sleep(kNodeStartTime);
  std::vector<Endpoint *> replacedNodes;
  for (auto &n : endpoints_)
    if (n.status == "in_service" && n.build < newestBuild_) replacedNodes.push_back(&n);
  const bool isLastStage = stage_ + 1 == static_cast<int>(stageCaps_.size());
  const auto replacedCount = isLastStage ? replacedNodes.size()
                                         : std::min<std::size_t>(replacedNodes.size(), 1);
  for (std::size_t i = 0; i < replacedCount; ++i) {
    const auto at = net::parseAddress("127.0.0.1:0");
    startNode("s-" + std::to_string(startedNodes_ + 1), *at, newestBuild_, isNewestBuildBad_, unixMs());
    sched_.spawn(drain(*replacedNodes[i]));
  }
}

net::Task<> Fleet::rollBack() {
  co_await sched_.sleep(kNodeStartTime);
  const auto at = net::parseAddress("127.0.0.1:0");
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    if (endpoints_[i].status != "in_service" || endpoints_[i].build != newestBuild_) continue;
    sched_.spawn(drain(endpoints_[i]));
    startNode("s-" + std::to_string(startedNodes_ + 1), *at, releasedBuild_, false, unixMs());
  }
  setRollout(stage_, "Aborted", 0);
}

bool Fleet::recordVote(const http::Fields &vote) {
  if (parseNumber(http::value(vote, "build"), -1) != newestBuild_) return false;
  const auto verdict = http::value(vote, "verdict");
  const bool isProgressing = phase_ == "Progressing";
  if (verdict == "back" && (isProgressing || phase_ == "Healthy")) {
    setRollout(stage_, "Aborting", exposureCap_);
    sched_.spawn(rollBack());
  } else if (verdict == "on") {
    if (!isProgressing || parseNumber(http::value(vote, "stage"), -1) != stage_) return false;
    if (stage_ + 1 == static_cast<int>(stageCaps_.size())) {
      releasedBuild_ = newestBuild_;
      setRollout(stage_, "Healthy", 1);
    } else {
      setRollout(stage_ + 1, "Progressing", stageCaps_[static_cast<std::size_t>(stage_) + 1]);
      sched_.spawn(startStageNodes());
    }
  }
  return true;
}

net::Task<> Fleet::acceptConnections(net::Socket &listener, Handler handler) {
  for (;;) {
    auto socket = net::tryAccept(sched_, budget_, listener);
    if (!socket)
      co_await listener.waitReadable({});
    else
      sched_.spawn(serveConnection(std::move(*socket), handler));
  }
}

net::Task<> Fleet::serveConnection(std::unique_ptr<net::Socket> socket, Handler handler) {
  net::Buffer buffer;
  for (bool open = true; open;) {
    http::Head head;
    std::size_t size = 0;
    auto parsed = http::ParseStatus::incomplete;
    while ((parsed = http::parseRequest(buffer.view(), head, size)) == http::ParseStatus::incomplete)
      if (co_await socket->read(buffer, {}) != ErrorCode::none) co_return;
    if (parsed == http::ParseStatus::malformed) co_return;
    buffer.consume(size);
    http::BodyDecoder rest(head, true);
    std::string body;
    for (;;) {
      parsed = rest.decode(buffer.view(), body, size);
      buffer.consume(size);
      if (parsed != http::ParseStatus::incomplete) break;
      if (co_await socket->read(buffer, {}) != ErrorCode::none) co_return;
    }
    if (parsed == http::ParseStatus::malformed) co_return;
    open = co_await (this->*handler)(*socket, head, body);
  }
}

// Serves the endpoint list, the watch on it, and the fleet's own command to drain a node.
net::Task<bool> Fleet::answerDiscovery(net::Socket &socket, const http::Head &head, const std::string &body) {
  http::Fields fields;
  const auto queryStart = std::min(head.target.find('?'), head.target.size());
  const auto path = head.target.substr(0, queryStart);
  http::parseForm(std::string_view(head.target).substr(std::min(queryStart + 1, head.target.size())), fields);
  std::string out;
  if (path == "/leave" && head.method == "POST") {
    http::Fields command;
    const bool ok = http::parseForm(body, command) && drainNode(std::string(http::value(command, "name")));
    out = makeResponse(ok ? "200 OK" : "404 Not Found", "text/plain",
                       ok ? "the node is draining\n" : "no node of this name is in service\n");
    co_return co_await socket.write(out, {}) == ErrorCode::none;
  }
  if (path != "/catalog/members" || http::value(fields, "stream") != "1") {
    out = path == "/catalog/members"
              ? makeResponse("200 OK", "application/json", endpointListJson(true, 0) + "\n")
              : makeResponse("404 Not Found", "text/plain", "unknown\n");
    co_return co_await socket.write(out, {}) == ErrorCode::none;
  }
  out = streamHead("application/json") + chunk(endpointListJson(true, 0) + "\n");
  for (auto sent = listVersion_;;) {
    while (isDiscoverySilent) co_await sched_.sleep(10 * kMillisecond);
    if (co_await socket.write(out, {}) != ErrorCode::none) co_return false;
    const sched::Deadline until{sched_.now() + 2000 * kMillisecond, nullptr};
    if (sent == listVersion_) co_await sched_.wait(listChanged_, until);
    out = chunk((sent == listVersion_ ? "" : endpointListJson(false, sent)) + "\n");
    sent = listVersion_;
  }
}

// Serves votes, the bulletin of rollout states, and the fleet's own command to offer a build.
net::Task<bool> Fleet::answerPlatform(net::Socket &socket, const http::Head &head, const std::string &body) {
  http::Fields fields;
  std::string out;
  if (head.target == "/bulletin") {
    out = streamHead("text/event-stream");
    for (std::string sent;;) {
      const bool isNewer = sent != phase_ + std::to_string(stage_) + std::to_string(newestBuild_);
      out += chunk(isNewer ? "event: stage\ndata: " + rolloutState() + "\n\n" : ":\n\n");
      sent = phase_ + std::to_string(stage_) + std::to_string(newestBuild_);
      if (co_await socket.write(out, {}) != ErrorCode::none) co_return false;
      out.clear();
      const sched::Deadline until{sched_.now() + 1000 * kMillisecond, nullptr};
      co_await sched_.wait(rolloutChanged_, until);
    }
  }
  const bool isForm = http::parseForm(body, fields);
  if (head.target == "/offer" && head.method == "POST") {
    const bool ok = isForm && offerBuild(parseNumber(http::value(fields, "build"), 0),
                                         http::value(fields, "bad") == "1");
    out = makeResponse(
        ok ? "200 OK" : "400 Bad Request", "text/plain",
        ok ? "the rollout has started\n"
           : "a rollout is active, or the build number is not above the newest one or exceeds 65535\n");
  } else if (!isForm || http::value(fields, "Action") != "RecordOpinion") {
    out = makeResponse("400 Bad Request", "text/xml", "<Error><Code>SYNTAX</Code></Error>");
  } else if (!recordVote(fields)) {
    out = makeResponse("400 Bad Request", "text/xml", "<Error><Code>STALE</Code></Error>");
  } else {
    http::Fields now;
    http::parseForm(rolloutState(), now);
    std::string item;
    for (const auto &[name, value] : now) item += "<" + name + ">" + value + "</" + name + ">";
    out = makeResponse("200 OK", "text/xml",
                       "<?xml version=\"1.0\"?>\n<Response><entries><item>" + item +
                           "</item></entries></Response>");
  }
  co_return co_await socket.write(out, {}) == ErrorCode::none;
}

} // namespace myrtlehead::lab
