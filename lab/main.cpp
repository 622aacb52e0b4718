// The laboratory's command line.
#include "app/bootstrap/bootstrap_config.h"
#include "lab/fleet.h"
#include "lab/floor.h"
#include "lab/histories.h"
#include "lab/pipelines.h"
#include "lab/process.h"
#include "lab/run.h"
#include "lab/sizes.h"
#include "lab/starts.h"
#include "lab/tally.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace myrtlehead;
using nlohmann::json;

std::string scratch() {
  const auto path = std::filesystem::temp_directory_path() / ("myrtlehead-lab-" + std::to_string(getpid()));
  return path;
}

json read(const std::string &file) {
  std::ifstream in(file);
  return json::parse(in);
}

struct Words {
  std::vector<std::string> files;
  std::string marshal, folder, report, png, other;
  int runs = 1;
  std::uint64_t seed = 1;
  int count = 10;
  double least = 0; // part completed
  bool live = false;
};

int run(const Words &w) {
  bool kept = true;
  json all = json::array();
  for (const auto &file : w.files)
    for (int i = 0; i < w.runs; ++i) {
      auto scenario = lab::readScenario(file);
      scenario.seed += static_cast<std::uint64_t>(i);
      auto report = lab::play(scenario, {w.marshal, w.folder, w.live});
      fmt::print("{}", lab::summary(report));
      kept &= lab::rulesKept(report) && report["service"].get<double>() >= w.least;
      if (!w.png.empty()) lab::plot(report, w.png);
      all.push_back(std::move(report));
    }
  if (!w.report.empty()) std::ofstream(w.report) << (all.size() == 1 ? all[0] : all).dump(1) << '\n';
  return kept ? 0 : 1;
}

int draw(const Words &w) {
  int broken = 0;
  for (int i = 0; i < w.count; ++i) {
    const auto scenario = lab::drawScenario(w.seed + static_cast<std::uint64_t>(i));
    const auto report = lab::play(scenario, {w.marshal, w.folder, w.live});
    fmt::print("{}", lab::summary(report));
    if (lab::rulesKept(report) && report["service"].get<double>() > 0.8) continue;
    ++broken;
  }
  fmt::print("{} of {} drawn scenarios broke a rule or served under 0.8\n", broken, w.count);
  return broken == 0 ? 0 : 1;
}

// A build that is good, then one that fails, offered under load to one instance before a toy fleet.
int demo(const Words &w) {
  lab::Scenario s;
  s.name = "demo";
  s.servers = 8;
  s.work = {.cores = 16,
            .mean = 10 * lab::kMillisecond,
            .spread = 0.3,
            .queue = 64,
            .warmupTime = 2 * lab::kSecond,
            .warmupStartFraction = 0.4};
  s.load = {.perSecond = 300,
            .lasts = 30 * lab::kSecond,
            .connections = 32,
            .patience = 500 * lab::kMillisecond,
            .writes = 0.1};
  s.events = {{.at = 2 * lab::kSecond, .what = "offer"}, {.at = 17 * lab::kSecond, .what = "offer_bad"}};
  fmt::print("Eight servers, one marshal, 300 reqs a second. A good build is offered after 2 s, a bad one "
             "after 17 s.\n");
  const auto report = lab::play(s, {w.marshal, w.folder, true});
  fmt::print("{}", lab::summary(report));
  const bool back = report["builds"]["phase"] == "Aborted" && report["builds"]["newest"] == 3;
  fmt::print("{}", back ? "The good build was released, the bad one was sent back.\n"
                        : "The bad build was not sent back: see the marshal's log.\n");
  fmt::print("Logs: {}\n", w.folder);
  return back && lab::rulesKept(report) ? 0 : 1;
}

// Histories of a fleet of members, in memory.
int histories(const Words &w) {
  lab::HistoryResult sum;
  int broken = 0;
  for (int i = 0; i < w.count; ++i) {
    const auto seed = w.seed + static_cast<std::uint64_t>(i);
    const lab::HistoryOptions options{.members = 3 + 2 * static_cast<int>(seed % 4)};
    const auto h = lab::runHistory(options, seed);
    sum.accepted += h.accepted;
    sum.done += h.done;
    sum.failed += h.failed;
    sum.abandoned += h.abandoned;
    sum.executions += h.executions;
    sum.kills += h.kills;
    sum.pauses += h.pauses;
    sum.partitions += h.partitions;
    for (const auto &violation : h.violations) fmt::print("seed {}: {}\n", seed, violation);
    broken += !h.violations.empty();
  }
  fmt::print("{} histories, {} broken: {} jobs taken, {} done, {} failed, {} given up, {} begun; {} kills, "
             "{} pauses, "
             "{} cuts\n",
             w.count, broken, sum.accepted, sum.done, sum.failed, sum.abandoned, sum.executions, sum.kills,
             sum.pauses, sum.partitions);
  return broken == 0 ? 0 : 1;
}

// What a fleet's logs say in sum.
int count(const Words &w) {
  lab::Tally tally;
  for (const auto &file : w.files) {
    std::ifstream log(file);
    tally.read(log);
  }
  fmt::print("{}", lab::table(tally.kinds()));
  if (tally.passedOver() > 0) fmt::print("{} lines were no lines of a log\n", tally.passedOver());
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Words w;
  w.folder = scratch();
  w.marshal = lab::neighbour("myrtlehead");
  CLI::App app("The laboratory: emulated servers, their failures, load and reports.", "myrtlehead_lab");
  app.require_subcommand(1);
  app.add_option("--marshal", w.marshal, "The marshal's program")->capture_default_str();
  app.add_option("--folder", w.folder, "For configurations, logs and state");
  app.add_flag("--live", w.live, "A line a second");
  auto *runs = app.add_subcommand("run", "Play scenarios and check the rules; exit code 1 if one is broken");
  runs->add_option("SCENARIO", w.files)->required()->check(CLI::ExistingFile);
  runs->add_option("--runs", w.runs, "Of each, with the next seeds")->check(CLI::Range(1, 1000));
  runs->add_option("--report", w.report, "Write it there, as JSON");
  runs->add_option("--plot", w.png, "Draw the seconds there, as PNG");
  runs->add_option("--least", w.least, "Exit code 1 too if a smaller part is completed")
      ->check(CLI::Range(0.0, 1.0));
  auto *compared = app.add_subcommand("compare", "Two reports side by side");
  compared->add_option("A", w.report)->required()->check(CLI::ExistingFile);
  compared->add_option("B", w.other)->required()->check(CLI::ExistingFile);
  auto *counted = app.add_subcommand("count", "Lines of a fleet's logs by kind, with their busiest second");
  counted->add_option("LOG", w.files, "One for each marshal, in the text form")
      ->required()
      ->check(CLI::ExistingFile);
  auto *drawn = app.add_subcommand("draw", "Play scenarios drawn by chance");
  drawn->add_option("--seed", w.seed, "The first")->capture_default_str();
  drawn->add_option("--count", w.count)->capture_default_str();
  auto *fleets = app.add_subcommand("histories",
                                    "A fleet's members, jobs and faults drawn by chance, in memory");
  fleets->add_option("--seed", w.seed, "The first")->capture_default_str();
  fleets->add_option("--count", w.count)->capture_default_str();
  auto *demos = app.add_subcommand("demo",
                                   "A toy fleet, a marshal and load in one go: builds offered and judged");
  auto *sizes = app.add_subcommand(
      "sizes", "10,000 servers at 500 marshals: moves, spread of load, time of an update");
  auto *begun = app.add_subcommand("starts", "Queries of a hundred marshals that start in one instant");
  auto *pipelined = app.add_subcommand(
      "pipelines", "Pipelined requests behind slow ones: served in time, latency and CPU by depth");
  pipelined->add_option("--runs", w.runs)->check(CLI::Range(1, 100));
  pipelined->add_option("--before", w.other, "An earlier version's program, measured in turn with --marshal")
      ->check(CLI::ExistingFile);
  auto *floors = app.add_subcommand("floor", "CPU a req and added latency beside a bare relay");
  floors->add_option("--runs", w.runs)->check(CLI::Range(1, 100));
  try {
    app.parse(argc, argv);
    if (runs->parsed()) return run(w);
    if (counted->parsed()) return count(w);
    if (drawn->parsed()) return draw(w);
    if (fleets->parsed()) return histories(w);
    if (demos->parsed()) return demo(w);
    if (begun->parsed()) return lab::starts();
    if (sizes->parsed()) return lab::sizes();
    if (pipelined->parsed()) return lab::measurePipelines({w.marshal, w.other, w.folder, w.runs});
    if (floors->parsed()) return lab::floorMeasure(w.marshal, w.folder, w.runs);
    if (compared->parsed()) return fmt::print("{}", lab::compare(read(w.report), read(w.other))), 0;
  } catch (const CLI::CallForHelp &e) {
    return app.exit(e);
  } catch (const CLI::ParseError &e) {
    std::cerr << "usage: " << e.what() << "\nRun myrtlehead_lab --help for more.\n";
    return 2;
  } catch (const std::exception &e) {
    std::cerr << "myrtlehead_lab: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
