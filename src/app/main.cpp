// The command line: what is asked for, and the exit code: 0, 1 (failed) or 2 (usage).
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

struct Words {
  app::Paths paths;
  std::string log, logForm, output = "text", name, servers, within = "5s";
  std::vector<std::string> names, files;
};

log::Levels levelsOf(const std::string &text) {
  const auto levels = log::parseLevels(text);
  if (!levels) throw CLI::ValidationError("--log", "'" + text + "' is no level, nor levels by package");
  return *levels;
}

CLI::App *addServe(CLI::App &app, Words &words) {
  auto *serve = app.add_subcommand("serve", "Serve as one marshal until SIGTERM");
  for (auto *at : {&app, serve}) {
    at->add_option("--log", words.log,
                   "Least level: debug, info, warning, error; by package: info,nodes=debug");
    at->add_option("--log-form", words.logForm, "Form of log lines")->check(CLI::IsMember({"text", "json"}));
    at->add_option("--settings", words.paths.settings, "The installation's settings, in TOML");
    at->add_option("--config", words.paths.configuration, "The platform's configuration, in JSON")
        ->envname("PROXY_CONFIG");
  }
  return serve;
}

CLI::App *addCheck(CLI::App &app, Words &words) {
  auto *check = app.add_subcommand("check",
                                   "Decode configurations and settings, and say what is wrong with them");
  check->add_option("FILE", words.files, "A configuration in JSON or settings in TOML")->required();
  check->add_option("--output", words.output, "Form of the answer")->check(CLI::IsMember({"text", "json"}));
  return check;
}

CLI::App *addResolve(CLI::App &app, Words &words) {
  auto *resolve = app.add_subcommand("resolve", "Show the servers that SRV records name");
  resolve->add_option("NAME", words.names, "SRV names such as _pg._tcp.maps.example")->required();
  resolve->add_option("--server", words.servers, "Servers of names: ADDRESS:PORT[,...]")->required();
  resolve->add_option("--within", words.within, "How long to wait for answers")->capture_default_str();
  resolve->add_option("--output", words.output, "Form of the answer")->check(CLI::IsMember({"text", "json"}));
  resolve->add_option("--log", words.log, "Least level of log lines");
  return resolve;
}

int serve(Words &words) {
  if (!words.log.empty()) words.paths.logLevels = levelsOf(words.log);
  if (!words.logForm.empty())
    words.paths.logForm = words.logForm == "json" ? log::Format::json : log::Format::text;
  if (words.paths.configuration.empty())
    throw CLI::RequiredError("--config, or PROXY_CONFIG in the environment,");
  app::serve(words.paths);
  return 0;
}

int resolve(const Words &words) {
  std::vector<net::Address> servers;
  for (const auto &item : CLI::detail::split(words.servers, ',')) {
    const auto at = net::parseAddress(item.find(':') == std::string::npos ? item + ":53" : item);
    if (!at) throw CLI::ValidationError("--server", "'" + item + "' is no address such as 127.0.0.1:53");
    servers.push_back(*at);
  }
  for (const auto &name : words.names)
    if (!dns::canonical(name)) throw CLI::ValidationError("NAME", "'" + name + "' is no domain name");
  const auto within = settings::parseDuration(words.within);
  if (!within) throw CLI::ValidationError("--within", "'" + words.within + "' is no duration such as 5s");
  return app::resolve(words.names, servers, *within, words.output == "json",
                      levelsOf(words.log.empty() ? "error" : words.log));
}

} // namespace

int main(int argc, char **argv) {
  Words words;
  CLI::App app("A gateway with a release guard.", "myrtlehead");
  app.require_subcommand(0, 1);
  app.footer("Without a sub-command, and with PROXY_CONFIG set or --config given, it serves.\n"
             "Exit codes: 0 fine, 1 failed, 2 wrong usage.");
  const auto *served = addServe(app, words);
  const auto *checked = addCheck(app, words);
  const auto *resolved = addResolve(app, words);
  const auto *versioned = app.add_subcommand("version", "Show the version");
  try {
    app.parse(argc, argv);
    if (versioned->parsed()) return std::cout << "myrtlehead " << kVersion << '\n', 0;
    if (checked->parsed()) return app::check(words.files, words.output == "json");
    if (resolved->parsed()) return resolve(words);
    (void)served;
    return serve(words);
  } catch (const CLI::CallForHelp &e) {
    return app.exit(e);
  } catch (const CLI::CallForAllHelp &e) {
    return app.exit(e);
  } catch (const CLI::ParseError &e) {
    std::cerr << "usage: " << e.what() << "\nRun myrtlehead --help for more.\n";
    return 2;
  } catch (const std::exception &e) {
    std::cerr << "myrtlehead: " << e.what() << '\n';
    return 1;
  }
}
