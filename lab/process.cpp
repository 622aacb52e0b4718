#include "lab/process.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace myrtlehead::lab {

std::string siblingProgram(const std::string &name) {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
}

Process::Process(net::Scheduler &sched, net::DescriptorBudget &budget, const std::string &program,
                 const std::vector<std::string> &arguments, const std::string &logFile)
    : sched_(sched) {
  int fds[2];
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds) != 0)
    throw std::runtime_error("can't create a socket pair for the log of " + program);
  fcntl(fds[0], F_SETFL, O_NONBLOCK);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, fds[1], 2);
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char *> argv;
  for (auto &w : words) argv.push_back(w.data());
  argv.push_back(nullptr);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(fds[1]);
  log_->file = logFile;
  log_->socket = std::make_unique<net::Socket>(sched, budget, fds[0]);
  if (error != 0) throw std::runtime_error("can't start " + program + ": " + std::strerror(error));
  sched_.spawn(readLog(log_));
}

Process::~Process() {
  if (!isRunning()) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, &status_, 0);
}

net::Task<> Process::readLog(std::shared_ptr<Log> log) {
  for (;;) {
    const auto error = co_await log->socket->read(log->buffer, {});
    const auto view = log->buffer.view();
    if (!log->file.empty() && !view.empty())
      std::ofstream(log->file, std::ios::app).write(view.data(), static_cast<std::streamsize>(view.size()));
    log->text.append(view);
    log->buffer.consume(view.size());
    log->appended.notify();
    if (error != net::ErrorCode::none) co_return;
  }
}

net::Task<std::string> Process::waitForLine(std::string words, net::Deadline deadline) {
  for (;;) {
    const auto at = log_->text.find(words);
    const auto end = at == std::string::npos ? at : log_->text.find('\n', at);
    if (end != std::string::npos) {
      const auto begin = log_->text.rfind('\n', at);
      co_return log_->text.substr(begin + 1, end - begin - 1);
    }
    if (!isRunning()) co_return "";
    const net::Deadline pollDeadline{std::min(deadline.at, sched_.now() + 100'000'000),
                                     deadline.cancellation};
    co_await sched_.wait(log_->appended, pollDeadline);
    if (sched_.now() >= deadline.at) co_return "";
  }
}

bool Process::isRunning() {
  if (!hasEnded_ && waitpid(pid_, &status_, WNOHANG) == pid_) hasEnded_ = true;
  return !hasEnded_;
}

void Process::kill(int signal) {
  if (isRunning()) ::kill(pid_, signal);
}

net::Task<int> Process::terminate(net::Deadline deadline) {
  kill(SIGTERM);
  while (isRunning() && sched_.now() < deadline.at) co_await sched_.sleep(10'000'000);
  if (isRunning()) co_return -1;
  co_return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

namespace {
// CPU time of all threads of a process, from the kernel scheduler's statistics in nanoseconds.
double cpuSecondsOf(int pid) {
  double out = 0;
  std::error_code ignoredError;
  for (const auto &task :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", ignoredError)) {
    std::ifstream schedstat(task.path() / "schedstat");
    double nanoseconds = 0;
    if (schedstat >> nanoseconds) out += nanoseconds / 1e9;
  }
  return out;
}
} // namespace

ResourceUsage resourceUsageOf(int pid) {
  ResourceUsage out;
  out.cpuSeconds = cpuSecondsOf(pid);
  std::string text;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  while (std::getline(status, text))
    if (text.starts_with("VmRSS:")) out.residentKb = std::stol(text.substr(6));
  return out;
}

} // namespace myrtlehead::lab
