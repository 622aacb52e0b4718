// The command line of the laboratory: runs scenarios against emulated servers and prints the results.
#include "app/bootstrap/bootstrap_config.h"
#include "lab/crowds.h"
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

// The path of this process's folder in the system's temporary directory. The folder is not created here.
std::string scratchFolderPath() {
  const auto path = std::filesystem::temp_directory_path() / ("myrtlehead-lab-" + std::to_string(getpid()));
  return path;
}

// Throws nlohmann::json::parse_error if the file is unreadable or is not valid JSON.
json readJson(const std::string &file) {
  std::ifstream in(file);
  return json::parse(in);
}

// The options of all sub-commands. Some fields are shared by several sub-commands.
struct CommandLine {
  std::vector<std::string> files; // scenario files for `run`, log files for `count`
  std::string program;            // path of the gateway's executable
  std::string folder;             // where configurations, logs and state are written
  std::string report;             // `run`: output file of the report; `compare`: report A
  std::string plot;               // `run`: output file of the PNG plot
  std::string other;              // `compare`: report B; `pipelines`: executable of an earlier version
  int runs = 1;
  std::uint64_t seed = 1;
  int count = 10;
  double minCompletedShare = 0; // `run`: the share of requests that must be completed, 0 to 1
  bool printsEverySecond = false;
  lab::CrowdOptions crowds;
};

// This function and those below each carry out one sub-command and return the exit code of the program.
int runScenarios(const CommandLine &line) {
  bool isFine = true;
  json all = json::array();
  for (const auto &file : line.files)
    for (int i = 0; i < line.runs; ++i) {
      auto scenario = lab::readScenario(file);
      scenario.seed += static_cast<std::uint64_t>(i);
      auto report = lab::runScenario(scenario, {line.program, line.folder, line.printsEverySecond});
      fmt::print("{}", lab::summarize(report));
      isFine &= lab::areRulesKept(report) && report["service"].get<double>() >= line.minCompletedShare;
      if (!line.plot.empty()) lab::plotSeconds(report, line.plot);
      all.push_back(std::move(report));
    }
  if (!line.report.empty()) std::ofstream(line.report) << (all.size() == 1 ? all[0] : all).dump(1) << '\n';
  return isFine ? 0 : 1;
}

// Runs randomly generated scenarios, each with its own seed.
int runRandomScenarios(const CommandLine &line) {
  int failed = 0;
  for (int i = 0; i < line.count; ++i) {
    const auto scenario = lab::drawScenario(line.seed + static_cast<std::uint64_t>(i));
    const auto report = lab::runScenario(scenario, {line.program, line.folder, line.printsEverySecond});
    fmt::print("{}", lab::summarize(report));
    if (lab::areRulesKept(report) && report["service"].get<double>() > 0.8) continue;
    ++failed;
  }
  fmt::print("{} of {} random scenarios broke a rule or completed at most 0.8 of their requests\n", failed,
             line.count);
  return failed == 0 ? 0 : 1;
}

// Offers a good build and then a faulty build, under load, to one instance in front of a small emulated
// fleet.
int runDemo(const CommandLine &line) {
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
  fmt::print("Eight servers, one instance, 300 requests per second. A good build is offered after 2 s, a bad "
             "build after 17 s.\n");
  const auto report = lab::runScenario(s, {line.program, line.folder, true});
  fmt::print("{}", lab::summarize(report));
  const bool isRolledBack = report["builds"]["phase"] == "Aborted" && report["builds"]["newest"] == 3;
  fmt::print("{}", isRolledBack ? "The good build was released and the bad build was rolled back.\n"
                                : "The bad build was not rolled back; see the log of the instance.\n");
  fmt::print("Logs: {}\n", line.folder);
  return isRolledBack && lab::areRulesKept(report) ? 0 : 1;
}

// Simulates clusters of 3, 5, 7 or 9 members in memory, with random faults, and checks their job histories.
int runHistories(const CommandLine &line) {
  lab::HistoryResult sum;
  int violating = 0;
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
    violating += !h.violations.empty();
  }
  fmt::print("{} histories, {} with violations: {} jobs accepted, {} done, {} failed, {} abandoned, "
             "{} executions; {} kills, {} pauses, {} partitions\n",
             line.count, violating, sum.accepted, sum.done, sum.failed, sum.abandoned, sum.executions,
             sum.kills, sum.pauses, sum.partitions);
  return violating == 0 ? 0 : 1;
}

int compareReports(const CommandLine &line) {
  fmt::print("{}", lab::formatComparison(readJson(line.report), readJson(line.other)));
  return 0;
}

// Prints a table of the log lines of several instances by kind.
int countLogLines(const CommandLine &line) {
  lab::LogTally tally;
  for (const auto &file : line.files) {
    std::ifstream log(file);
    tally.add(log);
  }
  fmt::print("{}", lab::formatTable(tally.kinds()));
  if (tally.skippedLines() > 0)
    fmt::print("{} lines were skipped because they are not log lines in the text form\n",
               tally.skippedLines());
  return 0;
}

const CLI::App *addPipelines(CLI::App &app, CommandLine &line) {
  auto *command = app.add_subcommand(
      "pipelines", "Measure pipelined requests behind slow ones: share in time, latency, CPU by depth");
  command->add_option("--runs", line.runs, "Number of runs")->check(CLI::Range(1, 100));
  command
      ->add_option("--before", line.other,
                   "Executable of an earlier version, measured alternately with --marshal")
      ->check(CLI::ExistingFile);
  return command;
}

const CLI::App *addCrowds(CLI::App &app, CommandLine &line) {
  auto *const added = app.add_subcommand(
      "crowds",
      "Put crowds of misbehaving clients before an instance with little memory; exit with code 1 if "
      "a request of a usual client is lost or the process passes its limit");
  auto &command = *added;
  auto &crowds = line.crowds;
  command.add_option("--seed", crowds.seed, "Seed of the first play")->capture_default_str();
  command.add_option("--plays", crowds.plays, "Number of plays, each with the next seed")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  command.add_option("--kind", crowds.kind, "Kind of the crowd; drawn by seed unless given")
      ->check(CLI::IsMember(lab::kCrowdKindNames));
  command.add_option("--clients", crowds.clients, "Clients at once; drawn by seed unless given")
      ->check(CLI::Range(1, 900));
  command.add_option("--memory-mb", crowds.memoryMb, "Limit of the instance's memory, in MB")
      ->check(CLI::Range(32, 4096))
      ->capture_default_str();
  command.add_option("--descriptors", crowds.descriptors, "Limit of the instance's descriptors")
      ->check(CLI::Range(256, 4096))
      ->capture_default_str();
  command.add_flag("--ignore-memory", crowds.ignoresMemory, "Do not compare the memory with its limit");
  command.add_option("--seconds", crowds.seconds, "How long each crowd stays, in seconds")
      ->check(CLI::Range(1, 600))
      ->capture_default_str();
  return added;
}

int playCrowds(CommandLine &line) {
  line.crowds.program = line.program;
  line.crowds.folder = line.folder;
  return lab::playCrowds(line.crowds);
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CommandLine line;
  line.folder = scratchFolderPath();
  line.program = lab::siblingProgram("myrtlehead");
  CLI::App app("The laboratory: emulates servers, failures and load, and reports how the gateway behaves.",
               "myrtlehead_lab");
  app.require_subcommand(1);
  app.add_option("--marshal", line.program, "Path of the gateway's executable")->capture_default_str();
  app.add_option("--folder", line.folder, "Folder for configurations, logs and state");
  app.add_flag("--live", line.printsEverySecond, "Print one line per second during a run");
  auto *runCommand = app.add_subcommand(
      "run", "Run scenarios and check the rules; exit with code 1 if a rule is broken");
  runCommand->add_option("SCENARIO", line.files)->required()->check(CLI::ExistingFile);
  runCommand->add_option("--runs", line.runs, "Number of runs of each scenario, each with the next seed")
      ->check(CLI::Range(1, 1000));
  runCommand->add_option("--report", line.report, "Write the report to this file, as JSON");
  runCommand->add_option("--plot", line.plot, "Plot the results per second to this PNG file (needs gnuplot)");
  runCommand
      ->add_option("--least", line.minCompletedShare,
                   "Also exit with code 1 if the completed share of requests is below this value")
      ->check(CLI::Range(0.0, 1.0));
  auto *compareCommand = app.add_subcommand("compare", "Print two reports side by side");
  compareCommand->add_option("A", line.report)->required()->check(CLI::ExistingFile);
  compareCommand->add_option("B", line.other)->required()->check(CLI::ExistingFile);
  auto *countCommand = app.add_subcommand(
      "count", "Count the log lines of a fleet by kind, with the busiest second of each kind");
  countCommand->add_option("LOG", line.files, "Log files in the text form, one for each instance")
      ->required()
      ->check(CLI::ExistingFile);
  auto *drawCommand = app.add_subcommand("draw", "Run randomly generated scenarios");
  drawCommand->add_option("--seed", line.seed, "Seed of the first scenario")->capture_default_str();
  drawCommand->add_option("--count", line.count, "Number of scenarios")->capture_default_str();
  auto *historiesCommand = app.add_subcommand(
      "histories", "Simulate members, jobs and random faults in memory and check the job histories");
  historiesCommand->add_option("--seed", line.seed, "Seed of the first history")->capture_default_str();
  historiesCommand->add_option("--count", line.count, "Number of histories")->capture_default_str();
  auto *demoCommand = app.add_subcommand(
      "demo", "Offer a good and a bad build to one instance in front of an emulated fleet under load");
  auto *sizesCommand = app.add_subcommand(
      "sizes", "Measure moves, load spread and update time with 10,000 servers and 500 instances");
  auto *startsCommand = app.add_subcommand("starts",
                                           "Count the queries of 100 instances that start at the same time");
  const auto *pipelinesCommand = addPipelines(app, line);
  const auto *crowdsCommand = addCrowds(app, line);
  auto *floorCommand = app.add_subcommand("floor",
                                          "Compare CPU per request and added latency with a bare relay");
  floorCommand->add_option("--runs", line.runs, "Number of runs")->check(CLI::Range(1, 100));
  try {
    app.parse(argc, argv);
    if (runCommand->parsed()) return runScenarios(line);
    if (countCommand->parsed()) return countLogLines(line);
    if (drawCommand->parsed()) return runRandomScenarios(line);
    if (historiesCommand->parsed()) return runHistories(line);
    if (demoCommand->parsed()) return runDemo(line);
    if (startsCommand->parsed()) return lab::starts();
    if (sizesCommand->parsed()) return lab::sizes();
    if (pipelinesCommand->parsed())
      return lab::measurePipelines({line.program, line.other, line.folder, line.runs});
    if (crowdsCommand->parsed()) return playCrowds(line);
    if (floorCommand->parsed()) return lab::measureProxyOverhead(line.program, line.folder, line.runs);
    if (compareCommand->parsed()) return compareReports(line);
  } catch (const CLI::CallForHelp &e) {
    return app.exit(e);
  } catch (const CLI::ParseError &e) {
    std::cerr << "usage: " << e.what()
              << "\nRun myrtlehead_lab --help for the list of sub-commands and options.\n";
    return 2;
  } catch (const std::exception &e) {
    std::cerr << "myrtlehead_lab: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
