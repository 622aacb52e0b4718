// The command line: sub-commands, their options, and the exit code: 0, 1 (failed) or 2 (wrong usage).
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
constexpr int kWrongUsage = 2;

// The options as they stand on the command line, of all sub-commands.
struct CommandLine {
  app::ServeOptions serve;
  std::string logLevels;
  std::string logForm;
  std::string outputForm = "text";
  std::vector<std::string> files; // check
  std::vector<std::string> names; // resolve
  std::string servers;            // resolve
  std::string within = "5s";      // resolve
};

log::Levels parseLevels(const std::string &text) {
  const auto levels = log::parseLevels(text);
  if (!levels) throw CLI::ValidationError("--log", "'" + text + "' is no level, nor levels by package");
  return *levels;
}

CLI::App *addServe(CLI::App &app, CommandLine &line) {
  auto *serve = app.add_subcommand("serve", "Serve as one marshal until SIGTERM");
  for (auto *command : {&app, serve}) {
    command->add_option("--log", line.logLevels,
                        "Least level: debug, info, warning, error; by package: info,nodes=debug");
    command->add_option("--log-form", line.logForm, "Form of log lines")
        ->check(CLI::IsMember({"text", "json"}));
    command->add_option("--settings", line.serve.settingsPath, "The installation's settings, in TOML");
    command->add_option("--config", line.serve.configPath, "The platform's configuration, in JSON")
        ->envname("PROXY_CONFIG");
  }
  return serve;
}

CLI::App *addCheck(CLI::App &app, CommandLine &line) {
  auto *check = app.add_subcommand("check",
                                   "Decode configurations and settings, and say what is wrong with them");
  check->add_option("FILE", line.files, "A configuration in JSON or settings in TOML")->required();
  check->add_option("--output", line.outputForm, "Form of the answer")
      ->check(CLI::IsMember({"text", "json"}));
  return check;
}

CLI::App *addResolve(CLI::App &app, CommandLine &line) {
  auto *resolve = app.add_subcommand("resolve", "Show the servers that SRV records name");
  resolve->add_option("NAME", line.names, "SRV names such as _pg._tcp.maps.example")->required();
  resolve->add_option("--server", line.servers, "Servers of names: ADDRESS:PORT[,...]")->required();
  resolve->add_option("--within", line.within, "How long to wait for answers")->capture_default_str();
  resolve->add_option("--output", line.outputForm, "Form of the answer")
      ->check(CLI::IsMember({"text", "json"}));
  resolve->add_option("--log", line.logLevels, "Least level of log lines");
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

// "ADDRESS[:PORT],..."; port 53 where none is given.
std::vector<net::Address> parseServers(const std::string &text) {
  std::vector<net::Address> out;
  for (const auto &item : CLI::detail::split(text, ',')) {
    const auto address = net::parseAddress(item.find(':') == std::string::npos ? item + ":53" : item);
    if (!address) throw CLI::ValidationError("--server", "'" + item + "' is no address such as 127.0.0.1:53");
    out.push_back(*address);
  }
  return out;
}

int resolve(const CommandLine &line) {
  const auto servers = parseServers(line.servers);
  for (const auto &name : line.names)
    if (!dns::canonicalName(name)) throw CLI::ValidationError("NAME", "'" + name + "' is no domain name");
  const auto within = settings::parseDuration(line.within);
  if (!within) throw CLI::ValidationError("--within", "'" + line.within + "' is no duration such as 5s");
  return app::resolve(line.names, servers, *within, line.outputForm == "json",
                      parseLevels(line.logLevels.empty() ? "error" : line.logLevels));
}

int check(const CommandLine &line) {
  return app::check(line.files, line.outputForm == "json" ? app::OutputForm::json : app::OutputForm::text);
}

int printVersion() {
  std::cout << "myrtlehead " << kVersion << '\n';
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  CommandLine line;
  CLI::App app("A gateway with a release guard.", "myrtlehead");
  app.require_subcommand(0, 1);
  app.footer("Without a sub-command, and with PROXY_CONFIG set or --config given, it serves.\n"
             "Exit codes: 0 fine, 1 failed, 2 wrong usage.");
  addServe(app, line);
  const auto *checkCommand = addCheck(app, line);
  const auto *resolveCommand = addResolve(app, line);
  const auto *versionCommand = app.add_subcommand("version", "Show the version");
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
    std::cerr << "usage: " << e.what() << "\nRun myrtlehead --help for more.\n";
    return kWrongUsage;
  } catch (const std::exception &e) {
    std::cerr << "myrtlehead: " << e.what() << '\n';
    return kFailed;
  }
}
