// The laboratory's command line.
#include "app/bootstrap/bootstrap_config.h"
#include "lab/fleet.h"
#include "lab/histories.h"
#include "lab/log_tally.h"
#include "lab/pipelines.h"
#include "lab/process.h"
#include "lab/proxy_overhead.h"
#include "lab/report.h"
#include "lab/run.h"
#include "lab/sizes.h"
#include "lab/starts.h"

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

// A folder of this process in the temporary one.
std::string scratchFolder() {
  const auto path = std::filesystem::temp_directory_path() / ("myrtlehead-lab-" + std::to_string(getpid()));
  return path;
}

json readJson(const std::string &file) {
  std::ifstream in(file);
  return json::parse(in);
}

// The options as they stand on the command line, of all sub-commands.
struct CommandLine {
  std::vector<std::string> files;
  std::string program; // the instance's
  std::string folder;
  std::string report; // run: where to write it; compare: A
  std::string plot;   // run
  std::string other;  // compare: B; pipelines: an earlier version's program
  int runs = 1;
  std::uint64_t seed = 1;
  int count = 10;
  double leastShare = 0; // run: of the requests that must be completed
  bool printsEverySecond = false;
};

int run(const CommandLine &line) {
  bool isFine = true;
  json all = json::array();
  for (const auto &file : line.files)
    for (int i = 0; i < line.runs; ++i) {
      auto scenario = lab::readScenario(file);
      scenario.seed += static_cast<std::uint64_t>(i);
      auto report = lab::runScenario(scenario, {line.program, line.folder, line.printsEverySecond});
      fmt::print("{}", lab::summary(report));
      isFine &= lab::areRulesKept(report) && report["service"].get<double>() >= line.leastShare;
      if (!line.plot.empty()) lab::plot(report, line.plot);
      all.push_back(std::move(report));
    }
  if (!line.report.empty()) std::ofstream(line.report) << (all.size() == 1 ? all[0] : all).dump(1) << '\n';
  return isFine ? 0 : 1;
}

int draw(const CommandLine &line) {
  int broken = 0;
  for (int i = 0; i < line.count; ++i) {
    const auto scenario = lab::drawScenario(line.seed + static_cast<std::uint64_t>(i));
    const auto report = lab::runScenario(scenario, {line.program, line.folder, line.printsEverySecond});
    fmt::print("{}", lab::summary(report));
    if (lab::areRulesKept(report) && report["service"].get<double>() > 0.8) continue;
    ++broken;
  }
  fmt::print("{} of {} drawn scenarios broke a rule or served under 0.8\n", broken, line.count);
  return broken == 0 ? 0 : 1;
}

// A build that is good, then one that fails, offered under load to one instance before a toy fleet.
int demo(const CommandLine &line) {
  lab::Scenario s;
  s.name = "demo";
  s.servers = 8;
  s.work = {.cores = 16,
            .meanServiceTime = 10 * lab::kMillisecond,
            .serviceTimeSigma = 0.3,
            .maxQueueLength = 64,
            .warmupTime = 2 * lab::kSecond,
            .warmupStartFraction = 0.4};
  s.load = {.requestsPerSecond = 300,
            .duration = 30 * lab::kSecond,
            .connections = 32,
            .clientTimeout = 500 * lab::kMillisecond,
            .writeShare = 0.1};
  s.events = {{.at = 2 * lab::kSecond, .what = "offer"}, {.at = 17 * lab::kSecond, .what = "offer_bad"}};
  fmt::print("Eight servers, one marshal, 300 reqs a second. A good build is offered after 2 s, a bad one "
             "after 17 s.\n");
  const auto report = lab::runScenario(s, {line.program, line.folder, true});
  fmt::print("{}", lab::summary(report));
  const bool back = report["builds"]["phase"] == "Aborted" && report["builds"]["newest"] == 3;
  fmt::print("{}", back ? "The good build was released, the bad one was sent back.\n"
                        : "The bad build was not sent back: see the marshal's log.\n");
  fmt::print("Logs: {}\n", line.folder);
  return back && lab::areRulesKept(report) ? 0 : 1;
}

// Histories of a cluster of members, in memory.
int histories(const CommandLine &line) {
  lab::HistoryResult sum;
  int broken = 0;
  for (int i = 0; i < line.count; ++i) {
    const auto seed = line.seed + static_cast<std::uint64_t>(i);
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
             line.count, broken, sum.accepted, sum.done, sum.failed, sum.abandoned, sum.executions, sum.kills,
             sum.pauses, sum.partitions);
  return broken == 0 ? 0 : 1;
}

int compare(const CommandLine &line) {
  fmt::print("{}", lab::compare(readJson(line.report), readJson(line.other)));
  return 0;
}

// The lines of a fleet's logs by kind.
int countLogLines(const CommandLine &line) {
  lab::LogTally tally;
  for (const auto &file : line.files) {
    std::ifstream log(file);
    tally.add(log);
  }
  fmt::print("{}", lab::formatTable(tally.kinds()));
  if (tally.skippedLines() > 0) fmt::print("{} lines were no lines of a log\n", tally.skippedLines());
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CommandLine line;
  line.folder = scratchFolder();
  line.program = lab::siblingProgram("myrtlehead");
  CLI::App app("The laboratory: emulated servers, their failures, load and reports.", "myrtlehead_lab");
  app.require_subcommand(1);
  app.add_option("--marshal", line.program, "The marshal's program")->capture_default_str();
  app.add_option("--folder", line.folder, "For configurations, logs and state");
  app.add_flag("--live", line.printsEverySecond, "A line a second");
  auto *runs = app.add_subcommand("run", "Play scenarios and check the rules; exit code 1 if one is broken");
  runs->add_option("SCENARIO", line.files)->required()->check(CLI::ExistingFile);
  runs->add_option("--runs", line.runs, "Of each, with the next seeds")->check(CLI::Range(1, 1000));
  runs->add_option("--report", line.report, "Write it there, as JSON");
  runs->add_option("--plot", line.plot, "Draw the seconds there, as PNG");
  runs->add_option("--least", line.leastShare, "Exit code 1 too if a smaller part is completed")
      ->check(CLI::Range(0.0, 1.0));
  auto *compared = app.add_subcommand("compare", "Two reports side by side");
  compared->add_option("A", line.report)->required()->check(CLI::ExistingFile);
  compared->add_option("B", line.other)->required()->check(CLI::ExistingFile);
  auto *counted = app.add_subcommand("count", "Lines of a fleet's logs by kind, with their busiest second");
  counted->add_option("LOG", line.files, "One for each marshal, in the text form")
      ->required()
      ->check(CLI::ExistingFile);
  auto *drawn = app.add_subcommand("draw", "Play scenarios drawn by chance");
  drawn->add_option("--seed", line.seed, "The first")->capture_default_str();
  drawn->add_option("--count", line.count)->capture_default_str();
  auto *fleets = app.add_subcommand("histories",
                                    "A fleet's members, jobs and faults drawn by chance, in memory");
  fleets->add_option("--seed", line.seed, "The first")->capture_default_str();
  fleets->add_option("--count", line.count)->capture_default_str();
  auto *demos = app.add_subcommand("demo",
                                   "A toy fleet, a marshal and load in one go: builds offered and judged");
  auto *sizes = app.add_subcommand(
      "sizes", "10,000 servers at 500 marshals: moves, spread of load, time of an update");
  auto *begun = app.add_subcommand("starts", "Queries of a hundred marshals that start in one instant");
  auto *pipelined = app.add_subcommand(
      "pipelines", "Pipelined requests behind slow ones: served in time, latency and CPU by depth");
  pipelined->add_option("--runs", line.runs)->check(CLI::Range(1, 100));
  pipelined
      ->add_option("--before", line.other, "An earlier version's program, measured in turn with --marshal")
      ->check(CLI::ExistingFile);
  auto *floors = app.add_subcommand("floor", "CPU a req and added latency beside a bare relay");
  floors->add_option("--runs", line.runs)->check(CLI::Range(1, 100));
  try {
    app.parse(argc, argv);
    if (runs->parsed()) return run(line);
    if (counted->parsed()) return countLogLines(line);
    if (drawn->parsed()) return draw(line);
    if (fleets->parsed()) return histories(line);
    if (demos->parsed()) return demo(line);
    if (begun->parsed()) return lab::starts();
    if (sizes->parsed()) return lab::sizes();
    if (pipelined->parsed()) return lab::measurePipelines({line.program, line.other, line.folder, line.runs});
    if (floors->parsed()) return lab::measureProxyOverhead(line.program, line.folder, line.runs);
    if (compared->parsed()) return compare(line);
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
