#include "lab/report.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace myrtlehead::lab {

using nlohmann::json;

namespace {

// Counts requests by outcome.
class OutcomeCounts {
public:
  void add(RequestOutcome outcome) { ++counts_[static_cast<std::size_t>(outcome)]; }
  int of(RequestOutcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }

private:
  std::array<int, kRequestOutcomes> counts_{};
};

double milliseconds(Nanoseconds time) { return static_cast<double>(time) / 1e6; }

// Returns the `q` quantile (0 to 1) of the values, or 0 if there are no values. Reorders `values`.
double quantile(std::vector<double> &values, double q) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

// Adds the request counts and the resource use of the whole run.
void addTotals(const RunResult &result, json &out) {
  OutcomeCounts counts;
  std::size_t requests = 0;
  for (const auto &load : result.loads)
    for (const auto &request : load->requests()) {
      counts.add(request.outcome);
      ++requests;
    }
  const auto total = static_cast<double>(requests);
  const int succeeded = counts.of(RequestOutcome::succeeded);
  out["reqs"] = requests;
  out["completed"] = succeeded;
  out["shed"] = counts.of(RequestOutcome::shed);
  out["errored"] = counts.of(RequestOutcome::failed);
  out["service"] = requests == 0 ? 0 : succeeded / total;
  out["sends"] = result.fleet.ledger.attempts;
  out["cpu_us_a_req"] = requests == 0 ? 0 : result.cpuSeconds * 1e6 / total;
  out["resident_kb"] = result.residentKb;
}

// Adds the latencies over the whole run, and the outcomes and latencies for each second.
void addLatencies(const RunResult &result, json &out) {
  const auto seconds = static_cast<std::size_t>((result.scenario.load.duration + kSecond - 1) / kSecond);
  std::vector<std::vector<double>> latenciesBySecond(seconds);
  std::vector<OutcomeCounts> countsBySecond(seconds);
  std::vector<double> latencies;
  for (const auto &load : result.loads)
    for (const auto &request : load->requests()) {
      const auto second = std::min(static_cast<std::size_t>((request.dueAt - result.startedAt) / kSecond),
                                   seconds - 1);
      countsBySecond[second].add(request.outcome);
      if (request.outcome != RequestOutcome::succeeded) continue;
      latenciesBySecond[second].push_back(milliseconds(request.latency));
      latencies.push_back(milliseconds(request.latency));
    }
  out["ms"] = {{"p50", quantile(latencies, 0.5)},
               {"p90", quantile(latencies, 0.9)},
               {"p99", quantile(latencies, 0.99)},
               {"p999", quantile(latencies, 0.999)}};
  for (std::size_t second = 0; second < seconds; ++second) {
    const auto &counts = countsBySecond[second];
    out["seconds"].push_back({{"s", second},
                              {"completed", counts.of(RequestOutcome::succeeded)},
                              {"shed", counts.of(RequestOutcome::shed)},
                              {"errored", counts.of(RequestOutcome::failed)},
                              {"lost", counts.of(RequestOutcome::lost)},
                              {"p50", quantile(latenciesBySecond[second], 0.5)},
                              {"p99", quantile(latenciesBySecond[second], 0.99)}});
  }
}

// Adds, over all completed drains, the time from the start of the drain to the last attempt at the node.
void addDrains(const RunResult &result, json &out) {
  const auto &ledger = result.fleet.ledger;
  std::vector<double> times;
  for (const Nanoseconds time : ledger.lastAttemptAfterDrain) times.push_back(milliseconds(time));
  out["drains"] = {{"count", times.size()},
                   {"last_send_ms",
                    {{"p50", quantile(times, 0.5)},
                     {"p99", quantile(times, 0.99)},
                     {"worst", milliseconds(ledger.longestAfterDrain)}}}};
}

} // namespace

json makeReport(const RunResult &result) {
  json out{{"name", result.scenario.name}, {"seed", result.scenario.seed}, {"events", json::array()}};
  addTotals(result, out);
  for (const auto &event : result.scenario.events) out["events"].push_back(describe(event));
  if (result.dns != nullptr)
    out["names"] = {{"queries", result.dns->queries}, {"over_tcp", result.dns->tcpQueries}};
  out["builds"] = {{"newest", result.fleet.newestBuild()}, {"phase", result.fleet.phase()}};
  addLatencies(result, out);
  out["rules"] = result.rules.rules();
  addDrains(result, out);
  return out;
}

bool areRulesKept(const json &report) {
  for (const auto &[name, value] : report["rules"].items())
    if (value.get<double>() > 0) return false;
  return true;
}

std::string summarize(const json &report) {
  auto out = fmt::format(
      "{}: {} requests, {:.4f} completed, {} shed, {} failed; latency in ms: p50 {:.1f} p99 {:.1f} "
      "p999 {:.1f}; {:.0f} us of CPU per request, {} kB resident\n",
      report["name"].get<std::string>(), report["reqs"].get<int>(), report["service"].get<double>(),
      report["shed"].get<int>(), report["errored"].get<int>(), report["ms"]["p50"].get<double>(),
      report["ms"]["p99"].get<double>(), report["ms"]["p999"].get<double>(),
      report["cpu_us_a_req"].get<double>(), report["resident_kb"].get<long>());
  if (report["drains"]["count"].get<int>() > 0)
    out += fmt::format("  {} drains; time to the last attempt in ms: p50 {:.1f} p99 {:.1f} worst {:.1f}\n",
                       report["drains"]["count"].get<int>(),
                       report["drains"]["last_send_ms"]["p50"].get<double>(),
                       report["drains"]["last_send_ms"]["p99"].get<double>(),
                       report["drains"]["last_send_ms"]["worst"].get<double>());
  for (const auto &event : report["events"]) out += "  " + event.get<std::string>() + "\n";
  out += areRulesKept(report) ? "  all rules kept:" : "  RULES BROKEN:";
  for (const auto &[name, value] : report["rules"].items()) out += fmt::format(" {} {}", name, value.dump());
  return out + "\n";
}

std::string formatComparison(const json &a, const json &b) {
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

void plotSeconds(const json &report, const std::string &png) {
  const auto data = png + ".dat";
  {
    std::ofstream out(data);
    for (const auto &second : report["seconds"])
      out << second["s"] << ' ' << second["completed"] << ' ' << second["shed"] << ' ' << second["errored"]
          << ' ' << second["p99"] << '\n';
  }
  const auto script = png + ".gp";
  std::ofstream(script)
      << "set terminal png size 1000,500\nset output '" << png << "'\nset title '"
      << report["name"].get<std::string>()
      << "'\nset xlabel 's'\nset ylabel 'requests per second'\nset y2label 'latency, ms'\nset key outside "
         "below\nset y2tics\nset ytics nomirror\n"
      << "plot '" << data << "' u 1:2 w l t 'completed', '' u 1:3 w l t 'shed', '' u 1:4 w l t 'failed', "
      << "'' u 1:5 axes x1y2 w l dt 2 t 'p99, ms'\n";
  if (std::system(("gnuplot " + script).c_str()) != 0)
    throw std::runtime_error("gnuplot is missing or failed on the script " + script);
  std::filesystem::remove(data);
  std::filesystem::remove(script);
}

} // namespace myrtlehead::lab
