// Shared by the tests that run the program as a process: starts the program in front of the laboratory's
// endpoints and reads its log.
#pragma once

#include <doctest/doctest.h>

#include "fixtures.h"

#include "lab/fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace myrtlehead {

// The value of a DataRow with one column follows the column count (2 bytes) and the value's length (4 bytes).
constexpr std::size_t kDataRowHeaderBytes = 6;

struct ChildProcess {
  pid_t pid = 0;
  std::unique_ptr<net::Socket> stderrSocket; // receives the standard error of the program, which is its log
  net::Buffer logText;                       // the part of the log that has been read from `stderrSocket`
};

// A path in the temporary folder that no other test process uses.
inline std::string temporaryPath(const char *suffix) {
  return std::string(std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp") +
         "/myrtlehead-test-" + std::to_string(getpid()) + suffix;
}

// Starts the program with the bootstrap configuration in the file at `path`, and connects its standard error
// to the `stderrSocket` of the result.
inline ChildProcess startProgramWithConfigFile(EventLoop &loop, const std::string &path,
                                               std::vector<std::string> arguments = {}) {
  setenv("PROXY_CONFIG", path.c_str(), 1);
  int fds[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == 0);
  fcntl(fds[0], F_SETFL, O_NONBLOCK);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, fds[1], 2);
  posix_spawn_file_actions_addclose(&actions, fds[0]);
  arguments.insert(arguments.begin(), MYRTLEHEAD_PROGRAM);
  std::vector<char *> argv;
  for (auto &a : arguments) argv.push_back(a.data());
  argv.push_back(nullptr);
  ChildProcess child;
  REQUIRE(posix_spawn(&child.pid, MYRTLEHEAD_PROGRAM, &actions, nullptr, argv.data(), environ) == 0);
  posix_spawn_file_actions_destroy(&actions);
  close(fds[1]);
  child.stderrSocket = std::make_unique<net::Socket>(loop.sched, loop.budget, fds[0]);
  return child;
}

// Writes `config` to a file and starts the program with that file.
inline ChildProcess startProgram(EventLoop &loop, const std::string &config,
                                 std::vector<std::string> arguments = {}) {
  std::ofstream(temporaryPath(".json")) << config;
  return startProgramWithConfigFile(loop, temporaryPath(".json"), std::move(arguments));
}

// Reads the log until it contains `text`. The test fails if the log ends before that.
inline sched::Task<> waitForLog(ChildProcess &child, std::string_view text) {
  while (child.logText.view().find(text) == std::string_view::npos) {
    const auto error = co_await child.stderrSocket->read(child.logText, {});
    if (error != net::ErrorCode::none)
      std::fprintf(stderr, "%.*s\n", static_cast<int>(child.logText.view().size()),
                   child.logText.view().data());
    REQUIRE(error == net::ErrorCode::none);
  }
}

// Waits until the process ends, removes its configuration file and returns the exit code. The test fails if a
// signal ended the process.
inline int waitForExit(ChildProcess &child) {
  int status = 0;
  REQUIRE(waitpid(child.pid, &status, 0) == child.pid);
  REQUIRE(WIFEXITED(status));
  std::remove(std::getenv("PROXY_CONFIG"));
  return WEXITSTATUS(status);
}

// The bootstrap configuration of a single instance in front of `fleet`.
inline std::string bootstrapConfig(const lab::Fleet &fleet) {
  return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + fleet.discoveryAddress() + R"(","seed":"1",
    "platform":{"address":")" +
         fleet.platformAddress() + R"(","news":{"build":1,"stage":1,"phase":"Healthy","cap":1,"age_ms":0}},
    "known":)" +
         fleet.endpointListJson(true, 0) + R"(,
    "settings":{"peersTotal":1,"failureDomains":["here"],"registryMode":"ask","resolutionUs":1000,
    "services":[{"name":"read","effect":"free","onTimeUs":500000}],"limits":{"mostTries":4},
    "familyInfo":{"control":"by_count","caps":[0.3,1.0],"free":2,"votesToGo":1},"contract":{"coldUs":100000}}})";
}

// The address on which the program accepts clients, taken from its first log line, which must
// have been read.
inline net::Address listenAddress(const ChildProcess &child) {
  const auto text = child.logText.view();
  const auto at = text.find(" at=", text.find("instance is serving requests")) + 4;
  const auto address = net::parseAddress(text.substr(at, text.find('\n', at) - at));
  REQUIRE(address);
  return *address;
}

// Sends a query for one record and returns the value in its row, or "" if the answer has no row (an error,
// for example).
inline sched::Task<std::string> queryRecord(net::Socket &socket, net::Buffer &buffer) {
  std::string sql;
  std::string value;
  pg::addQuery(sql, "SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=900 */");
  co_await socket.write(sql, {});
  for (char type = 0; type != 'Z';) {
    pg::Message message;
    while (pg::parseMessage(buffer.view(), message) != pg::ParseStatus::complete)
      if (co_await socket.read(buffer, {}) != net::ErrorCode::none) co_return value;
    type = message.type;
    if (type == 'D') value = message.body.substr(kDataRowHeaderBytes);
    buffer.consume(message.size);
  }
  co_return value;
}

} // namespace myrtlehead
