#include "lab/run.h"

#include "lab/dns_server.h"
#include "lab/fleet.h"
#include "lab/process.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace myrtlehead::lab {

namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr const char *kService = "_pg._tcp.maps.example";
constexpr double kSlack = 6; // requests in flight when a stage changes, by who counts

double quantile(std::vector<double> &values, double q) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

// All of one playing: the fleet and its stand-ins in this process, the instances in theirs.
class Play {
public:
  Play(const Scenario &scenario, const Playing &how);
  json run();

private:
  sched::Task<> all();
  sched::Task<> startMarshal(std::size_t number);
  sched::Task<> befall(Event event);
  sched::Task<> once(const Event &event);
  sched::Task<> followZone();
  sched::Task<> watchExposure();
  sched::Task<> live();
  void setZone();
  void configure(std::size_t number) const;
  std::string path(const char *what, std::size_t number) const;
  std::string serverFor(const Event &event);
  json report();
  void addTimes(json &out);
  void addRules(json &out);
  double passedReqs() const;

  const Scenario &scenario_;
  Playing how_;
  sched::Scheduler sched_;
  net::DescriptorBudget budget_{100'000};
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<DnsServer> dns_;
  struct Router {
    std::unique_ptr<Process> process;
    net::Address at;
    int starts = 0;
    double cpuBefore = 0;
  };
  std::vector<Router> marshals_;
  std::vector<std::unique_ptr<LoadTool>> loads_;
  Nanoseconds begun_ = 0;
  std::size_t turn_ = 0;
  double lost_ = 0; // part of the zone that is left out
  std::string flapped_;
  double exposureExcess_ = 0;
  int badExits_ = 0;
  std::string failure_;
  double cpu_ = 0;
  long resident_ = 0;
};

Play::Play(const Scenario &scenario, const Playing &how) : scenario_(scenario), how_(how) {
  fs::create_directories(how_.folder);
  for (int i = 0; i < scenario.marshals; ++i)
    fs::remove_all(how_.folder + "/state-" + std::to_string(i)); // of an earlier playing
  const auto any = *net::parseAddress("127.0.0.1:0");
  Fleet::Beginning beginning{any, any, 1, {}, {scenario.cap, 1}, scenario.work, scenario.seed};
  for (int i = 1; i <= scenario.servers; ++i) beginning.nodes.emplace_back("s-" + std::to_string(i), any);
  fleet_ = std::make_unique<Fleet>(sched_, budget_, beginning);
  fleet_->listsNothing = !scenario.listed;
  if (scenario.named) dns_ = std::make_unique<DnsServer>(sched_, budget_);
  marshals_.resize(static_cast<std::size_t>(scenario.marshals));
  sched_.onUncaughtException = [this](const char *what) { failure_ = what, sched_.halt(); };
}

std::string Play::path(const char *what, std::size_t number) const {
  return how_.folder + "/marshal-" + std::to_string(number) + what;
}

void Play::configure(std::size_t number) const {
  const auto news = [&] {
    http::Fields fields;
    http::parseForm(fleet_->news(), fields);
    return json{{"build", std::stoi(std::string(http::value(fields, "build")))},
                {"stage", std::stoi(std::string(http::value(fields, "stage")))},
                {"phase", http::value(fields, "phase")},
                {"cap", std::stod(std::string(http::value(fields, "cap")))},
                {"age_ms", 0}};
  }();
  const auto route = [](const char *name, const char *effect) {
    return json{{"name", name},        {"effect", effect}, {"group", "all"}, {"repeatWindowUs", 1'000'000},
                {"onTimeUs", 250'000}, {"worth", 1}};
  };
  const json settings{
      {"me", number},
      {"peersTotal", scenario_.marshals},
      {"locality", 0},
      {"failureDomains", {"here"}},
      {"registryMode", "ask"},
      {"resolutionUs", 1000},
      {"services", {route("read", "free"), route("write", "guarded"), route("once", "single_shot")}},
      {"familyInfo",
       {{"control", "by_count"},
        {"caps", {scenario_.cap, 1.0}},
        {"free", scenario_.free},
        {"votesToGo", 1},
        {"noesNeeded", 1},
        {"voteStandsUs", 4'000'000},
        {"voteAllowance", 5},
        {"callTimeoutUs", 1'200'000}}},
      {"contract",
       {{"coldFrom", scenario_.work.warmupStartFraction},
        {"coldUs", scenario_.work.warmupTime / 1000},
        {"fallMultiple", scenario_.work.coldBudgetMultiple},
        {"tipAfterUs", scenario_.work.fallAfter / 1000}}},
      {"limits",
       {{"mostTries", 4},
        {"retryAfter", true},
        {"maxRetryAfterUs", 500'000},
        {"connectTimeoutUs", 250'000},
        {"connIdleUs", 30'000'000}}},
      {"telemetry", {{"fields", {"waiting"}}}}};
  json out{{"name", "n" + std::to_string(number)},
           {"listen", "127.0.0.1:0"},
           {"discovery", fleet_->discovery()},
           {"seed", fmt::format("{:x}", scenario_.seed * 1000 + number + 1)},
           {"limits", {{"sockets", 1024}, {"memory_mb", 192}}},
           {"platform", {{"address", fleet_->platform()}, {"news", news}}},
           {"settings", settings}};
  if (scenario_.listed) out["known"] = json::parse(fleet_->list(true, 0));
  std::ofstream(path(".json", number)) << out.dump(1);
  std::ofstream toml(path(".toml", number));
  toml << scenario_.settings << "\n";
  if (!dns_) return;
  toml << "[state]\nfolder = \"" << how_.folder << "/state-" << number << "\"\n"
       << "[names]\nservers = [\"" << net::text(dns_->address()) << "\"]\nstart_spread = \"500ms\"\n"
       << "[[names.set]]\nname = \"" << kService << "\"\n";
  if (scenario_.release >= 0) toml << "release = " << scenario_.release << "\n";
  fs::create_directories(how_.folder + "/state-" + std::to_string(number));
}

sched::Task<> Play::startMarshal(std::size_t number) {
  configure(number);
  auto &m = marshals_[number];
  ++m.starts;
  const std::vector<std::string> arguments{"serve", "--config", path(".json", number), "--settings",
                                           path(".toml", number)};
  m.process = std::make_unique<Process>(sched_, budget_, how_.marshal, arguments, path(".log", number));
  const net::Deadline until{sched_.now() + 10 * kSecond, nullptr};
  const auto line = co_await m.process->line("marshal serves", until);
  const auto at = line.find(" at=");
  const auto address = at == std::string::npos ? std::nullopt : net::parseAddress(line.substr(at + 4));
  if (!address)
    throw std::runtime_error("marshal " + std::to_string(number) + " did not start; see " +
                             path(".log", number));
  m.at = *address;
}

void Play::setZone() {
  auto lines = fleet_->zone(kService, scenario_.ttl, scenario_.namesForget);
  std::vector<std::string> out;
  for (std::size_t i = 0; i + 2 < lines.size(); i += 3) {
    const bool gone = static_cast<double>(i / 3) < lost_ * static_cast<double>(lines.size() / 3);
    if (gone || (!flapped_.empty() && lines[i].ends_with(" " + flapped_ + ".maps.example."))) continue;
    for (std::size_t k = 0; k < 3; ++k) out.push_back(std::move(lines[i + k]));
  }
  dns_->zone(out);
  dns_->keep(std::string(kService) + ".");
}

sched::Task<> Play::followZone() {
  for (;;) {
    setZone();
    const net::Deadline soon{sched_.now() + kSecond, nullptr};
    co_await sched_.wait(fleet_->listChanged(), soon);
  }
}

double Play::passedReqs() const {
  std::size_t n = 0;
  for (const auto &l : loads_) n += l->reqs().size();
  return static_cast<double>(n);
}

// Within one stage, attempts at trial nodes stay under what is free and the cap's part of the requests.
sched::Task<> Play::watchExposure() {
  for (int stage = -1;;) {
    double sends = 0, reqs = 0, cap = 0;
    for (stage = fleet_->stages(); stage == fleet_->stages();) {
      if (sends == 0 && reqs == 0)
        sends = static_cast<double>(fleet_->ledger.trialSends), reqs = passedReqs(), cap = fleet_->cap();
      if (fleet_->trial()) {
        const double allowed = scenario_.free * scenario_.marshals + cap * (passedReqs() - reqs) + kSlack;
        const double taken = static_cast<double>(fleet_->ledger.trialSends) - sends;
        exposureExcess_ = std::max(exposureExcess_, taken - allowed);
      }
      co_await sched_.sleep(20 * kMillisecond);
    }
  }
}

std::string Play::serverFor(const Event &event) {
  if (event.server != "*") return event.server;
  const auto all = fleet_->inService();
  return all.empty() ? "" : all[turn_++ % all.size()];
}

sched::Task<> Play::befall(Event event) {
  co_await sched_.sleep(event.at);
  for (;;) {
    sched_.spawn([](Play &play, Event e) -> sched::Task<> { co_await play.once(e); }(*this, event));
    if (event.every <= 0) co_return;
    co_await sched_.sleep(event.every);
  }
}

sched::Task<> Play::once(const Event &e) {
  const auto name = serverFor(e);
  if (e.what == "drain") {
    co_await fleet_->drainFor(name, e.lasts);
  } else if (e.what == "names" && dns_) {
    constexpr std::pair<const char *, DnsServer::Udp> kFaults[] = {
        {"silent", DnsServer::Udp::silent},   {"servfail", DnsServer::Udp::servfail},
        {"refused", DnsServer::Udp::refused}, {"truncate", DnsServer::Udp::truncate},
        {"wrongId", DnsServer::Udp::wrongId}, {"noise", DnsServer::Udp::noise},
        {"folds", DnsServer::Udp::folds}};
    for (const auto &[word, fault] : kFaults)
      if (e.fault == word) dns_->udp = fault;
    if (e.lasts > 0) co_await sched_.sleep(e.lasts), dns_->udp = DnsServer::Udp::normal;
  } else if ((e.what == "lose" || e.what == "flap") && dns_) {
    const Nanoseconds until = sched_.now() + e.lasts;
    for (bool out = true; sched_.now() < until; out = !out) {
      lost_ = e.what == "lose" ? e.amount : lost_;
      flapped_ = e.what == "flap" && out ? name : "";
      setZone();
      co_await sched_.sleep(std::min(until - sched_.now(), e.what == "flap" ? kSecond : e.lasts));
    }
    lost_ = 0, flapped_.clear();
    setZone();
  } else if (e.what == "offer" || e.what == "offer_bad") {
    fleet_->offer(fleet_->build() + 1, e.what == "offer_bad");
  } else if (e.what == "list") {
    fleet_->mute = true;
    co_await sched_.sleep(e.lasts);
    fleet_->mute = false;
  } else if (e.what == "restart") {
    for (std::size_t i = 0; i < marshals_.size(); ++i) {
      auto old = std::move(marshals_[i].process);
      if (old == nullptr) continue;
      cpu_ += old->costs().cpuSeconds;
      const net::Deadline until{sched_.now() + 5 * kSecond, nullptr};
      // Its successor is up first, as behind any front that swaps instances.
      co_await startMarshal(i);
      const int code = co_await old->end(until);
      badExits_ += code != 0;
    }
  } else if (auto *node = fleet_->find(name)) {
    auto &t = node->trouble;
    if (e.what == "crash") node->crash();
    if (e.what == "hang") t.hangs = true;
    if (e.what == "slow") t.slow = e.amount;
    if (e.what == "errors") t.errors = e.amount;
    if (e.what == "resets") t.resets = e.amount;
    if (e.lasts > 0) co_await sched_.sleep(e.lasts), node->recover();
  }
}

sched::Task<> Play::live() {
  for (std::size_t told = 0;;) {
    co_await sched_.sleep(kSecond);
    std::size_t n[5] = {}, newer = 0;
    const auto &reqs = loads_[0]->reqs();
    for (std::size_t i = told; i < reqs.size(); ++i)
      ++n[static_cast<int>(reqs[i].ended)], newer += reqs[i].build == fleet_->build();
    told = reqs.size();
    fmt::print("{:>3} s  build {} {:<12} cap {:<5} completed {:>5} (newest build {:>5})  shed {:>4}  errored "
               "{:>4}\n",
               (sched_.now() - begun_) / kSecond, fleet_->build(), fleet_->phase(), fleet_->cap(), n[1],
               newer, n[2], n[3]);
    std::fflush(stdout);
  }
}

sched::Task<> Play::all() {
  if (dns_) sched_.spawn(followZone());
  for (std::size_t i = 0; i < marshals_.size(); ++i) co_await startMarshal(i);
  co_await sched_.sleep(1200 * kMillisecond); // names and list are heard
  for (auto &m : marshals_) m.cpuBefore = m.process->costs().cpuSeconds;
  begun_ = sched_.now();
  auto load = scenario_.load;
  load.perSecond /= scenario_.marshals;
  for (std::size_t i = 0; i < marshals_.size(); ++i) {
    loads_.push_back(std::make_unique<LoadTool>(
        sched_, budget_, [this, i] { return marshals_[i].at; }, load, scenario_.seed + i,
        "m" + std::to_string(i) + "r"));
    sched_.spawn(loads_.back()->run());
  }
  for (const auto &event : scenario_.events) sched_.spawn(befall(event));
  sched_.spawn(watchExposure());
  if (how_.live) sched_.spawn(live());
  co_await sched_.sleep(load.lasts + 100 * kMillisecond);
  for (auto &l : loads_) co_await l->finish();
  for (auto &m : marshals_) {
    if (m.process == nullptr) continue;
    const auto costs = m.process->costs();
    cpu_ += costs.cpuSeconds - (m.starts == 1 ? m.cpuBefore : 0);
    resident_ = std::max(resident_, costs.residentKb);
    const net::Deadline until{sched_.now() + 5 * kSecond, nullptr};
    const int code = co_await m.process->end(until);
    badExits_ += code != 0;
  }
  sched_.halt();
}

void Play::addTimes(json &out) {
  const auto seconds = static_cast<std::size_t>((scenario_.load.lasts + kSecond - 1) / kSecond);
  std::vector<std::vector<double>> took(seconds);
  std::vector<std::array<int, 5>> ended(seconds);
  std::vector<double> all;
  for (const auto &l : loads_)
    for (const auto &r : l->reqs()) {
      const auto at = std::min(static_cast<std::size_t>((r.due - begun_) / kSecond), seconds - 1);
      ++ended[at][static_cast<std::size_t>(r.ended)];
      if (r.ended != Ended::completed) continue;
      took[at].push_back(static_cast<double>(r.took) / 1e6);
      all.push_back(static_cast<double>(r.took) / 1e6);
    }
  out["ms"] = {{"p50", quantile(all, 0.5)},
               {"p90", quantile(all, 0.9)},
               {"p99", quantile(all, 0.99)},
               {"p999", quantile(all, 0.999)}};
  for (std::size_t s = 0; s < seconds; ++s)
    out["seconds"].push_back({{"s", s},
                              {"completed", ended[s][1]},
                              {"shed", ended[s][2]},
                              {"errored", ended[s][3]},
                              {"lost", ended[s][4]},
                              {"p50", quantile(took[s], 0.5)},
                              {"p99", quantile(took[s], 0.99)}});
}

void Play::addRules(json &out) {
  int lost = 0, answers = 0, twice = 0;
  bool stray = false;
  for (const auto &l : loads_) {
    stray |= l->strayAnswers();
    for (const auto &r : l->reqs()) lost += r.ended == Ended::lost, answers += r.answers > 1;
  }
  auto &ledger = fleet_->ledger;
  for (const auto &[id, effect] : ledger.effects) twice += effect.runs > 1;
  out["rules"] = {{"lost", lost},
                  {"answered_twice", answers + stray},
                  {"effects_twice", twice},
                  {"sends_to_drained", ledger.lateToDrained},
                  {"cold_pushed_over", ledger.fallen},
                  {"exposure_excess", std::max(exposureExcess_, 0.0)},
                  {"crashes", badExits_}};
  std::vector<double> drains;
  for (const Nanoseconds t : ledger.afterDrain) drains.push_back(static_cast<double>(t) / 1e6);
  out["drains"] = {{"count", drains.size()},
                   {"last_send_ms",
                    {{"p50", quantile(drains, 0.5)},
                     {"p99", quantile(drains, 0.99)},
                     {"worst", static_cast<double>(ledger.worstAfterDrain) / 1e6}}}};
}

json Play::report() {
  std::array<int, 5> ended{};
  std::size_t reqs = 0;
  for (const auto &l : loads_)
    for (const auto &r : l->reqs()) ++ended[static_cast<std::size_t>(r.ended)], ++reqs;
  json out{{"name", scenario_.name},
           {"seed", scenario_.seed},
           {"reqs", reqs},
           {"completed", ended[1]},
           {"shed", ended[2]},
           {"errored", ended[3]},
           {"service", reqs == 0 ? 0 : ended[1] / static_cast<double>(reqs)},
           {"sends", fleet_->ledger.sends},
           {"cpu_us_a_req", reqs == 0 ? 0 : cpu_ * 1e6 / static_cast<double>(reqs)},
           {"resident_kb", resident_},
           {"events", json::array()}};
  for (const auto &e : scenario_.events) out["events"].push_back(describe(e));
  if (dns_) out["names"] = {{"queries", dns_->queries}, {"over_tcp", dns_->overTcp}};
  out["builds"] = {{"newest", fleet_->build()}, {"phase", fleet_->phase()}};
  addTimes(out);
  addRules(out);
  return out;
}

json Play::run() {
  sched_.spawn(all());
  sched_.run();
  if (!failure_.empty()) throw std::runtime_error(failure_);
  auto out = report();
  sched_.destroyAllTasks();
  return out;
}

} // namespace

json play(const Scenario &scenario, const Playing &how) { return Play(scenario, how).run(); }

bool rulesKept(const json &report) {
  for (const auto &[name, value] : report["rules"].items())
    if (value.get<double>() > 0) return false;
  return true;
}

std::string summary(const json &r) {
  auto out = fmt::format("{}: {} reqs, {:.4f} completed, {} shed, {} errored; ms p50 {:.1f} p99 {:.1f} p999 "
                         "{:.1f}; {:.0f} us of CPU a req, {} kB\n",
                         r["name"].get<std::string>(), r["reqs"].get<int>(), r["service"].get<double>(),
                         r["shed"].get<int>(), r["errored"].get<int>(), r["ms"]["p50"].get<double>(),
                         r["ms"]["p99"].get<double>(), r["ms"]["p999"].get<double>(),
                         r["cpu_us_a_req"].get<double>(), r["resident_kb"].get<long>());
  if (r["drains"]["count"].get<int>() > 0)
    out += fmt::format("  drains {}: last send after ms p50 {:.1f} p99 {:.1f} worst {:.1f}\n",
                       r["drains"]["count"].get<int>(), r["drains"]["last_send_ms"]["p50"].get<double>(),
                       r["drains"]["last_send_ms"]["p99"].get<double>(),
                       r["drains"]["last_send_ms"]["worst"].get<double>());
  for (const auto &event : r["events"]) out += "  " + event.get<std::string>() + "\n";
  out += rulesKept(r) ? "  rules kept:" : "  RULES BROKEN:";
  for (const auto &[name, value] : r["rules"].items()) out += fmt::format(" {} {}", name, value.dump());
  return out + "\n";
}

std::string compare(const json &a, const json &b) {
  auto out = fmt::format("{:<18} {:>14} {:>14} {:>8}\n", "", a["name"].get<std::string>().substr(0, 14),
                         b["name"].get<std::string>().substr(0, 14), "B/A");
  const auto row = [&](const std::string &name, double x, double y) {
    out += fmt::format("{:<18} {:>14.4f} {:>14.4f} {:>8.3f}\n", name, x, y, x != 0 ? y / x : 0);
  };
  for (const char *key : {"reqs", "service", "shed", "errored", "cpu_us_a_req", "resident_kb"})
    row(key, a[key].get<double>(), b[key].get<double>());
  for (const char *key : {"p50", "p99", "p999"})
    row(std::string("ms ") + key, a["ms"][key].get<double>(), b["ms"][key].get<double>());
  for (const auto &[name, value] : a["rules"].items())
    row(name, value.get<double>(), b["rules"][name].get<double>());
  return out;
}

void plot(const json &report, const std::string &png) {
  const auto data = png + ".dat";
  {
    std::ofstream out(data);
    for (const auto &s : report["seconds"])
      out << s["s"] << ' ' << s["completed"] << ' ' << s["shed"] << ' ' << s["errored"] << ' ' << s["p99"]
          << '\n';
  }
  const auto script = png + ".gp";
  std::ofstream(script) << "set terminal png size 1000,500\nset output '" << png << "'\nset title '"
                        << report["name"].get<std::string>()
                        << "'\nset xlabel 's'\nset ylabel 'reqs a second'\nset y2label 'ms'\nset key outside "
                           "below\nset y2tics\nset ytics nomirror\n"
                        << "plot '" << data
                        << "' u 1:2 w l t 'completed', '' u 1:3 w l t 'shed', '' u 1:4 w l t 'errored', "
                        << "'' u 1:5 axes x1y2 w l dt 2 t 'p99, ms'\n";
  if (std::system(("gnuplot " + script).c_str()) != 0) throw std::runtime_error("gnuplot failed");
  fs::remove(data), fs::remove(script);
}

} // namespace myrtlehead::lab
