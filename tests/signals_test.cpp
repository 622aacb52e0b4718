// Signals that arrive while the program starts. The configuration file is a pipe, so a test can keep the
// program reading it while it sends a signal.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "program_fixture.h"

#include <sys/stat.h>

using namespace myrtlehead;

namespace {

// A configuration file that the program keeps reading until the test has written it.
class ConfigPipe {
public:
  ConfigPipe() : path_(temporaryPath(".fifo")) { REQUIRE(mkfifo(path_.c_str(), 0600) == 0); }
  ~ConfigPipe() { unlink(path_.c_str()); }
  const std::string &path() const { return path_; }
  // Returns once the program has opened the pipe for reading.
  sched::Task<> waitForReader(EventLoop &loop) {
    while ((fd_ = open(path_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) < 0)
      co_await loop.sched.sleep(kMillisecond);
  }
  void writeAll(const std::string &configuration) {
    REQUIRE(write(fd_, configuration.data(), configuration.size()) ==
            static_cast<ssize_t>(configuration.size()));
    close(fd_);
  }

private:
  std::string path_;
  int fd_ = -1;
};

const net::Address kAnyPort = *net::parseAddress("127.0.0.1:0");

} // namespace

// A SIGHUP that arrives before its handler runs must not be lost: the file is read again after the start, so
// a changed discovery address is applied.
TEST_CASE("a SIGHUP while the configuration is read leads to a reload") {
  EventLoop loop;
  lab::Fleet fleet(loop.sched, loop.budget, {kAnyPort, kAnyPort, 1, {{"s-1", kAnyPort}}, {1}});
  lab::Fleet movedFleet(loop.sched, loop.budget, {kAnyPort, kAnyPort, 1, {{"s-9", kAnyPort}}, {1}});
  ConfigPipe pipe;
  auto child = startProgramWithConfigFile(loop, pipe.path());
  auto body = [&]() -> sched::Task<> {
    co_await pipe.waitForReader(loop);
    kill(child.pid, SIGHUP);
    pipe.writeAll(bootstrapConfig(fleet));
    co_await waitForLog(child, "instance is serving requests"); // the configuration has been read once
    co_await pipe.waitForReader(loop);
    pipe.writeAll(bootstrapConfig(movedFleet));
    co_await waitForLog(child, "configuration reloaded discovery=" + movedFleet.discoveryAddress());
    kill(child.pid, SIGTERM);
    co_await waitForLog(child, "shutdown complete");
  };
  loop.run(body());
  REQUIRE(waitForExit(child) == 0);
}

TEST_CASE("a SIGTERM while the configuration is read leads to a graceful shutdown") {
  EventLoop loop;
  lab::Fleet fleet(loop.sched, loop.budget, {kAnyPort, kAnyPort, 1, {{"s-1", kAnyPort}}, {1}});
  ConfigPipe pipe;
  auto child = startProgramWithConfigFile(loop, pipe.path());
  auto body = [&]() -> sched::Task<> {
    co_await pipe.waitForReader(loop);
    kill(child.pid, SIGTERM);
    pipe.writeAll(bootstrapConfig(fleet));
    co_await waitForLog(child, "shutdown requested; finishing open requests");
    co_await waitForLog(child, "shutdown complete");
  };
  loop.run(body());
  REQUIRE(waitForExit(child) == 0);
}

// The platform's shell starts the program with SIGHUP ignored, and an ignored signal is inherited.
TEST_CASE("SIGHUP reloads even if the parent process ignored it") {
  EventLoop loop;
  lab::Fleet fleet(loop.sched, loop.budget, {kAnyPort, kAnyPort, 1, {{"s-1", kAnyPort}}, {1}});
  std::signal(SIGHUP, SIG_IGN);
  auto child = startProgram(loop, bootstrapConfig(fleet));
  std::signal(SIGHUP, SIG_DFL);
  auto body = [&]() -> sched::Task<> {
    co_await waitForLog(child, "instance is serving requests");
    kill(child.pid, SIGHUP);
    co_await waitForLog(child, "configuration reloaded");
    kill(child.pid, SIGTERM);
    co_await waitForLog(child, "shutdown complete");
  };
  loop.run(body());
  REQUIRE(waitForExit(child) == 0);
}
