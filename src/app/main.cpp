// Parses the command line and runs a sub-command. The exit code is 0 for success, 1 for failure and 2 for
// invalid usage.
#include "app/check.h"
#include "app/resolve.h"
#include "app/serve.h"
#include "app/settings/settings.h"
#include "format/dns/message.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

namespace {

using namespace myrtlehead;

constexpr const char *kVersion = MYRTLEHEAD_VERSION;
constexpr int kFailed = 1;
constexpr int kInvalidUsage = 2;

// The unparsed option values of all sub-commands.
struct CommandLine {
  app::ServeOptions serve;
  std::string logLevels;
  std::string logForm;
  std::string outputFormat = "text";
  std::vector<std::string> files; // of `check`
  std::vector<std::string> names; // of `resolve`
  std::string servers;            // of `resolve`
  std::string within = "5s";      // of `resolve`
};

app::OutputFormat outputFormat(const CommandLine &line) {
  return line.outputFormat == "json" ? app::OutputFormat::json : app::OutputFormat::text;
}

log::Levels parseLevels(const std::string &text) {
  const auto levels = log::parseLevels(text);
  if (!levels)
    throw CLI::ValidationError(
        "--log",
        "'" + text + "' is not a log level, nor a list of levels by package such as info,nodes=debug");
  return *levels;
}

CLI::App *addServe(CLI::App &app, CommandLine &line) {
  auto *serve = app.add_subcommand("serve", "Run one instance of the gateway until SIGTERM or SIGINT");
  for (auto *command : {&app, serve}) {
    command->add_option(
        "--log", line.logLevels,
        "Minimum log level: debug, info, warning or error; by package, for example: info,nodes=debug");
    command->add_option("--log-form", line.logForm, "Format of log lines")
        ->check(CLI::IsMember({"text", "json"}));
    command->add_option("--settings", line.serve.settingsPath,
                        "Path of the installation's settings file (TOML)");
    command->add_option("--config", line.serve.configPath, "Path of the platform's configuration file (JSON)")
        ->envname("PROXY_CONFIG");
  }
  return serve;
}

CLI::App *addCheck(CLI::App &app, CommandLine &line) {
  auto *check = app.add_subcommand("check",
                                   "Validate configuration and settings files and print their errors");
  check->add_option("FILE", line.files, "A configuration file (JSON) or a settings file (TOML)")->required();
  check->add_option("--output", line.outputFormat, "Output format")->check(CLI::IsMember({"text", "json"}));
  return check;
}

CLI::App *addResolve(CLI::App &app, CommandLine &line) {
  auto *resolve = app.add_subcommand("resolve", "Look up SRV names and print the endpoints in their records");
  resolve->add_option("NAME", line.names, "SRV names, for example _pg._tcp.maps.example")->required();
  resolve->add_option("--server", line.servers, "DNS servers: ADDRESS[:PORT][,...]; the default port is 53")
      ->required();
  resolve->add_option("--within", line.within, "Time limit for all look-ups, for example 5s")
      ->capture_default_str();
  resolve->add_option("--output", line.outputFormat, "Output format")->check(CLI::IsMember({"text", "json"}));
  resolve->add_option("--log", line.logLevels, "Minimum log level");
  return resolve;
}

int serve(CommandLine &line) {
  if (!line.logLevels.empty()) line.serve.logLevels = parseLevels(line.logLevels);
  if (!line.logForm.empty())
    line.serve.logForm = line.logForm == "json" ? log::Format::json : log::Format::text;
  if (line.serve.configPath.empty())
    throw CLI::RequiredError("--config, or PROXY_CONFIG in the environment,");
  app::serve(line.serve);
  return 0;
}

// Parses "ADDRESS[:PORT],..."; the default port is 53.
std::vector<net::Address> parseServers(const std::string &text) {
  std::vector<net::Address> out;
  for (const auto &item : CLI::detail::split(text, ',')) {
    const auto address = net::parseAddress(item.find(':') == std::string::npos ? item + ":53" : item);
    if (!address)
      throw CLI::ValidationError("--server",
                                 "'" + item + "' is not an IP address and port such as 127.0.0.1:53");
    out.push_back(*address);
  }
  return out;
}

int resolve(const CommandLine &line) {
  const auto servers = parseServers(line.servers);
  for (const auto &name : line.names)
    if (!dns::canonical(name)) throw CLI::ValidationError("NAME", "'" + name + "' is not a domain name");
  const auto timeout = settings::parseDuration(line.within);
  if (!timeout)
    throw CLI::ValidationError("--within", "'" + line.within + "' is not a duration such as 5s or 250ms");
  return app::resolve(line.names, servers, *timeout, outputFormat(line),
                      parseLevels(line.logLevels.empty() ? "error" : line.logLevels));
}

int check(const CommandLine &line) { return app::check(line.files, outputFormat(line)); }

int printVersion() {
  std::cout << "myrtlehead " << kVersion << '\n';
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  CommandLine line;
  CLI::App app("A gateway that routes requests during staged rollouts and votes on builds.", "myrtlehead");
  app.require_subcommand(0, 1);
  app.footer("Without a sub-command, myrtlehead runs 'serve'; set PROXY_CONFIG or give --config.\n"
             "Exit codes: 0 success, 1 failure, 2 invalid usage.");
  addServe(app, line);
  const auto *checkCommand = addCheck(app, line);
  const auto *resolveCommand = addResolve(app, line);
  const auto *versionCommand = app.add_subcommand("version", "Print the version");
  try {
    app.parse(argc, argv);
    if (versionCommand->parsed()) return printVersion();
    if (checkCommand->parsed()) return check(line);
    if (resolveCommand->parsed()) return resolve(line);
    return serve(line);
  } catch (const CLI::CallForHelp &e) {
    return app.exit(e);
  } catch (const CLI::CallForAllHelp &e) {
    return app.exit(e);
  } catch (const CLI::ParseError &e) {
    std::cerr << "usage: " << e.what() << "\nRun myrtlehead --help for more information.\n";
    return kInvalidUsage;
  } catch (const std::exception &e) {
    std::cerr << "myrtlehead: " << e.what() << '\n';
    return kFailed;
  }
}
