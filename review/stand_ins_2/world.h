// Stand-ins for the second review: nodes, discovery, the platform and clients, written from the pages that
// describe them. Threads and blocking sockets on loopback; nothing of the project's own code is used.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();

inline double nowMs() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }
inline long long unixMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}
inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }
inline void sleepUntilMs(double at) { sleepMs(std::max(0.0, at - nowMs())); }

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2; // exit codes

// What was sent, answered and run, one line an event, with the time in ms since the start.
inline std::mutex recordMutex;
inline FILE *recordFile = nullptr;
__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...) {
  const std::lock_guard lock(recordMutex);
  if (recordFile == nullptr) return;
  std::fprintf(recordFile, "%10.1f ", nowMs());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(recordFile, format, arguments);
  va_end(arguments);
  std::fputc('\n', recordFile);
  std::fflush(recordFile);
}

// Processes that were started, to be killed at the end.
inline std::mutex processMutex;
inline std::set<pid_t> processes;

[[noreturn]] inline void finish(int code, const std::string &why) {
  record("RESULT %d: %s", code, why.c_str());
  std::printf("%s: %s\n", code == kHeld ? "held" : code == kBroken ? "BROKEN" : "could not run", why.c_str());
  std::fflush(stdout);
  {
    const std::lock_guard lock(processMutex);
    for (const auto pid : processes) kill(pid, SIGKILL);
    for (const auto pid : processes) waitpid(pid, nullptr, 0);
  }
  _exit(code);
}

inline void check(bool holds, const std::string &what) {
  if (!holds) finish(kCouldNotRun, what);
}

// Starts `command` by /bin/sh -c, as the platform starts `run`. It ends with this process at the latest.
inline pid_t startProcess(const std::string &command, const std::string &configPath, const std::string &log) {
  const pid_t parent = getpid();
  const pid_t pid = fork();
  check(pid >= 0, "fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    setenv("PROXY_CONFIG", configPath.c_str(), 1);
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char *>(nullptr));
    _exit(127);
  }
  const std::lock_guard lock(processMutex);
  processes.insert(pid);
  return pid;
}

// Sends the signal and returns at once.
inline void signalProcess(pid_t pid, int signal, const char *who) {
  record("signal %d to %s", signal, who);
  kill(pid, signal);
}

// Waits until the process has ended; false if it has not by then.
inline bool awaitEnd(pid_t pid, double untilMs, int *status = nullptr) {
  int ignored = 0;
  while (nowMs() < untilMs) {
    if (waitpid(pid, status != nullptr ? status : &ignored, WNOHANG) == pid) {
      const std::lock_guard lock(processMutex);
      processes.erase(pid);
      return true;
    }
    sleepMs(2);
  }
  return false;
}

// Sockets.

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int listenOn(int port, int type = SOCK_STREAM) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 ||
      (type == SOCK_STREAM && listen(fd, 512) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

// A free port below the range from which the kernel draws ports of its own.
inline int freePort() {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> used;
  for (int i = 0; i < 1000; ++i) {
    const int port = std::uniform_int_distribution<int>(12000, 31000)(random);
    if (!used.insert(port).second) continue;
    const int tcp = listenOn(port), udp = listenOn(port, SOCK_DGRAM);
    if (tcp >= 0) close(tcp);
    if (udp >= 0) close(udp);
    if (tcp >= 0 && udp >= 0) return port;
  }
  finish(kCouldNotRun, "no free port");
}

inline std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int connectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto address = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

inline bool writeAll(int fd, const std::string &bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads what has come into `into`. 1: something came; 0: the end, or a reset; -1: nothing until `untilMs`.
inline int readSome(int fd, std::string &into, double untilMs) {
  for (;;) {
    pollfd waiting{fd, POLLIN, 0};
    const double left = untilMs - nowMs();
    const int ready = poll(&waiting, 1, left <= 0 ? 0 : static_cast<int>(std::min(left + 1, 60000.0)));
    if (ready < 0 && errno == EINTR) continue;
    if (ready == 0) {
      if (nowMs() >= untilMs) return -1;
      continue;
    }
    char bytes[16384];
    const auto n = recv(fd, bytes, sizeof bytes, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return 0;
    into.append(bytes, static_cast<std::size_t>(n));
    return 1;
  }
}

constexpr double kForever = 1e15;

// Accepts connections and serves each in a thread of its own, until stop().
class Server {
public:
  Server(int port, std::function<void(int)> serve) : port_(port), serve_(std::move(serve)) { start(); }
  void start() {
    listener_ = listenOn(port_);
    check(listener_ >= 0, "cannot listen on " + at(port_));
    isOpen_ = true;
    accepting_ = std::thread([this, fd = listener_] {
      for (;;) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0 && isOpen_ && (errno == EINTR || errno == ECONNABORTED)) continue;
        if (client < 0) return;
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
          const std::lock_guard lock(mutex_);
          open_.insert(client);
        }
        std::thread([this, client] {
          serve_(client);
          const std::lock_guard lock(mutex_);
          open_.erase(client);
          close(client);
        }).detach();
      }
    });
  }
  // As when the process dies: connections are reset and new ones are refused.
  void stop() {
    isOpen_ = false;
    ::shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    close(listener_);
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  int port() const { return port_; }

private:
  int port_;
  std::function<void(int)> serve_;
  int listener_ = -1;
  std::atomic<bool> isOpen_ = false;
  std::thread accepting_;
  std::mutex mutex_;
  std::set<int> open_;
};

// PostgreSQL's protocol.

inline void put32(std::string &out, std::uint32_t n) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(n >> shift & 0xff);
}
inline std::uint32_t get32(const std::string &in, std::size_t from) {
  std::uint32_t n = 0;
  for (std::size_t i = from; i < from + 4; ++i) n = n << 8 | static_cast<unsigned char>(in[i]);
  return n;
}
inline std::string pgMessage(char type, const std::string &body) {
  std::string out(1, type);
  put32(out, static_cast<std::uint32_t>(body.size() + 4));
  return out + body;
}
inline std::string pgQuery(const std::string &sql) { return pgMessage('Q', sql + '\0'); }
inline std::string pgStartup() {
  std::string body;
  put32(body, 196608);
  body += std::string("user\0svc\0database\0main\0\0", 24);
  std::string out;
  put32(out, static_cast<std::uint32_t>(body.size() + 4));
  return out + body;
}
inline std::string pgReady() { return pgMessage('Z', "I"); }
inline std::string pgError(const std::string &code, const std::string &text) {
  std::string body = "SERROR";
  body += '\0';
  body += "C" + code + '\0' + "M" + text + '\0' + '\0';
  return pgMessage('E', body);
}
inline std::string pgRow(const std::string &value, const std::string &tag) {
  std::string description("\0\1v\0", 4);
  put32(description, 0);
  description += std::string("\0\0", 2);
  put32(description, 25);
  description += "\xff\xff";
  put32(description, 0xffffffff);
  description += std::string("\0\0", 2);
  std::string row("\0\1", 2);
  put32(row, static_cast<std::uint32_t>(value.size()));
  row += value;
  return pgMessage('T', description) + pgMessage('D', row) + pgMessage('C', tag + '\0');
}

// Takes a whole message off the front of `in`.
inline bool takeMessage(std::string &in, char &type, std::string &body) {
  if (in.size() < 5) return false;
  const std::size_t size = get32(in, 1);
  if (in.size() < size + 1) return false;
  type = in[0];
  body = in.substr(5, size - 4);
  in.erase(0, size + 1);
  return true;
}

// The text behind `name=` in the comment of a statement.
inline std::string field(const std::string &sql, const std::string &name) {
  const auto comment = sql.rfind("/*");
  if (comment == std::string::npos) return "";
  for (auto i = comment + 2; i < sql.size();) {
    const auto begin = sql.find_first_not_of(" ,", i);
    if (begin == std::string::npos) return "";
    const auto end = sql.find_first_of(", *", begin);
    const auto item = sql.substr(begin, end - begin);
    if (item.rfind(name + "=", 0) == 0) return item.substr(name.size() + 1);
    if (end == std::string::npos || sql[end] == '*') return "";
    i = end;
  }
  return "";
}

// What a node does with a statement.
struct Plan {
  enum Action { answer, error, turnAway, reset, hang } action = answer;
  double workMs = 50;     // before the answer, the error or the reset
  std::string value = {}; // of a wrong answer
};
struct Statement {
  std::string node, sql, id, route, key;
  double atMs = 0;
};

// A node: admits any user at once, and takes one statement at a time on each connection.
class Node {
public:
  using Decide = std::function<Plan(const Statement &)>;
  Node(std::string name, int port, Decide decide)
      : name_(std::move(name)), decide_(std::move(decide)), server_(port, [this](int fd) { serve(fd); }) {}
  const std::string &name() const { return name_; }
  int port() const { return server_.port(); }

private:
  void serve(int fd) {
    std::string in;
    while (in.size() < 4 || in.size() < get32(in, 0))
      if (readSome(fd, in, kForever) <= 0) return;
    in.erase(0, get32(in, 0));
    std::string out;
    std::string ok;
    put32(ok, 0);
    out += pgMessage('R', ok) + pgReady();
    if (!writeAll(fd, out)) return;
    for (;;) {
      char type = 0;
      std::string body;
      while (!takeMessage(in, type, body))
        if (readSome(fd, in, kForever) <= 0) return;
      if (type != 'Q') return;
      const auto sql = body.substr(0, body.size() - 1);
      if (sql.empty()) {
        if (!writeAll(fd, pgMessage('I', "") + pgReady())) return;
        continue;
      }
      const Statement statement{name_, sql, field(sql, "id"), field(sql, "c"), field(sql, "k"), nowMs()};
      const auto plan = decide_(statement);
      if (plan.action == Plan::hang) {
        while (readSome(fd, in, kForever) > 0) {}
        return;
      }
      sleepMs(plan.workMs);
      if (plan.action == Plan::reset) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        return;
      }
      const bool isWrite = sql.rfind("INSERT", 0) == 0;
      std::string reply;
      if (plan.action == Plan::answer)
        reply = pgRow(plan.value.empty() ? "made by " + name_ + " for " + statement.id : plan.value,
                      isWrite ? "INSERT 0 1" : "SELECT 1");
      else if (plan.action == Plan::turnAway)
        reply = pgError("53300", "turned away");
      else
        reply = pgError("XX000", "failed");
      if (!writeAll(fd, reply + pgReady())) return;
    }
  }
  std::string name_;
  Decide decide_;
  Server server_;
};

// What a client was told.
struct Answer {
  enum Kind { served, refused, failed, closed, nothing } kind = nothing;
  std::string text;
  double ms = 0; // from the request's last byte
};
inline const char *nameOf(Answer::Kind kind) {
  constexpr const char *kNames[] = {"served", "refused", "failed", "closed without an answer", "no answer"};
  return kNames[kind];
}

// A client's connection.
class Client {
public:
  ~Client() { end(); }
  Client() = default;
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;
  // Connects and reads up to ReadyForQuery.
  bool open(int port, double withinMs) {
    end();
    fd_ = connectTo(port);
    if (fd_ < 0 || !writeAll(fd_, pgStartup())) return false;
    return awaitReady(nowMs() + withinMs);
  }
  bool isOpen() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  // Sends a statement and waits for its answer until `waitMs` after its last byte.
  Answer ask(const std::string &sql, double waitMs) {
    if (!writeAll(fd_, pgQuery(sql))) {
      end();
      return {Answer::closed, "the connection broke before the request's last byte", 0};
    }
    return awaitAnswer(waitMs);
  }
  Answer awaitAnswer(double waitMs) {
    const double sentAt = nowMs();
    Answer answer;
    for (;;) {
      char type = 0;
      std::string body;
      while (!takeMessage(in_, type, body)) {
        const int got = readSome(fd_, in_, sentAt + waitMs);
        answer.ms = nowMs() - sentAt;
        if (got > 0) continue;
        if (got == 0) end();
        if (answer.kind != Answer::nothing) return answer; // all but ReadyForQuery has come
        answer.kind = got == 0 ? Answer::closed : Answer::nothing;
        return answer;
      }
      answer.ms = nowMs() - sentAt;
      if (type == 'D') answer.text = body.substr(6);
      if (type == 'C') answer.kind = Answer::served;
      if (type == 'E') {
        const bool isRefusal = body.find("C53300") != std::string::npos ||
                               body.find("C57P03") != std::string::npos;
        answer.kind = isRefusal ? Answer::refused : Answer::failed;
        answer.text = body;
        std::replace(answer.text.begin(), answer.text.end(), '\0', ' ');
      }
      if (type == 'Z') return answer;
    }
  }
  void end() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    in_.clear();
  }

private:
  bool awaitReady(double untilMs) {
    for (;;) {
      char type = 0;
      std::string body;
      while (!takeMessage(in_, type, body))
        if (readSome(fd_, in_, untilMs) <= 0) return false;
      if (type == 'Z') return true;
    }
  }
  int fd_ = -1;
  std::string in_;
};

// Waits until the instance answers an empty query, as the front does.
inline void awaitServing(int port, double withinMs) {
  const double until = nowMs() + withinMs;
  for (;;) {
    Client client;
    if (client.open(port, 1000) && writeAll(client.fd(), pgQuery(""))) {
      std::string in;
      while (readSome(client.fd(), in, nowMs() + 1000) > 0)
        if (in.find('I') != std::string::npos) return;
    }
    check(nowMs() < until, "an instance did not begin to serve");
    sleepMs(20);
  }
}

// HTTP.

struct HttpMessage {
  std::string first, body; // the first line
};

// Reads a message with a Content-Length, or none.
inline bool readHttp(int fd, std::string &in, HttpMessage &out, double untilMs) {
  std::size_t head = 0;
  while ((head = in.find("\r\n\r\n")) == std::string::npos)
    if (readSome(fd, in, untilMs) <= 0) return false;
  std::string lower = in.substr(0, head);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
  std::size_t length = 0;
  const auto field = lower.find("content-length:");
  if (field != std::string::npos) length = std::strtoul(lower.c_str() + field + 15, nullptr, 10);
  while (in.size() < head + 4 + length)
    if (readSome(fd, in, untilMs) <= 0) return false;
  out.first = in.substr(0, in.find("\r\n"));
  out.body = in.substr(head + 4, length);
  in.erase(0, head + 4 + length);
  return true;
}

inline std::string httpResponse(const std::string &status, const std::string &type, const std::string &body) {
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One call on a connection of its own. Returns the status, or 0 if there was no whole answer.
inline int httpCall(int port, const std::string &method, const std::string &path, const std::string &body,
                    double withinMs, std::string &answer) {
  const int fd = connectTo(port);
  if (fd < 0) return 0;
  HttpMessage out;
  std::string in;
  const auto request = method + " " + path + " HTTP/1.1\r\nHost: " + at(port) +
                       "\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\nConnection: close\r\n\r\n" + body;
  const bool isWhole = writeAll(fd, request) && readHttp(fd, in, out, nowMs() + withinMs);
  close(fd);
  if (!isWhole || out.first.size() < 12) return 0;
  answer = out.body;
  return std::atoi(out.first.c_str() + 9);
}

inline std::string chunk(const std::string &text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// Discovery: the list, and watches with an empty line every 2 s.
class Discovery {
public:
  struct Entry {
    std::string name;
    int port;
    std::string status = "in_service";
    int release = 1;
    long long version = 1;
    long long sinceMs = 0; // Unix time of the last start; 0: long ago
  };
  Discovery(int port, std::vector<Entry> entries)
      : entries_(std::move(entries)), server_(port, [this](int fd) { serve(fd); }) {}
  // Changes an entry's status and tells it to all watches.
  void setStatus(const std::string &name, const std::string &status) {
    record("discovery: %s is %s", name.c_str(), status.c_str());
    const std::lock_guard lock(mutex_);
    for (auto &entry : entries_)
      if (entry.name == name) {
        entry.status = status;
        entry.version = ++index_;
      }
    changed_.notify_all();
  }
  // Silent: open connections stay open and nothing is written to them; calls get no answer.
  void setSilent(bool isSilent) {
    record("discovery %s", isSilent ? "falls silent" : "speaks again");
    isSilent_ = isSilent;
  }
  std::string listJson(bool isSnapshot, long long after) {
    const std::lock_guard lock(mutex_);
    return listLocked(isSnapshot, after);
  }
  void stop() {
    record("discovery is down");
    ++life_;
    changed_.notify_all();
    server_.stop();
  }
  void start() {
    record("discovery is up");
    server_.start();
  }
  int port() const { return server_.port(); }
  int watches() const { return watches_; }

private:
  std::string listLocked(bool isSnapshot, long long after) const {
    std::string out = "{\"index\":" + std::to_string(index_) +
                      ",\"snapshot\":" + (isSnapshot ? "true" : "false") + ",\"endpoints\":[";
    bool isFirst = true;
    for (const auto &entry : entries_) {
      if (isSnapshot ? entry.status == "terminated" : entry.version <= after) continue;
      if (!isFirst) out += ',';
      isFirst = false;
      out += "{\"name\":\"" + entry.name + "\",\"address\":\"" + at(entry.port) +
             "\",\"zone\":\"hall-a\",\"type\":\"std-4c\",\"group\":0,\"status\":\"" + entry.status +
             "\",\"weight\":1.0,\"since_ms\":" + std::to_string(entry.sinceMs) +
             ",\"release\":" + std::to_string(entry.release) + "}";
    }
    return out + "]}";
  }
  void serve(int fd) {
    std::string in;
    HttpMessage request;
    while (readHttp(fd, in, request, kForever)) {
      while (isSilent_) sleepMs(10);
      if (request.first.find("stream=1") == std::string::npos) {
        if (!writeAll(fd, httpResponse("200 OK", "application/json", listJson(true, 0) + "\n"))) return;
        continue;
      }
      watch(fd);
      return;
    }
  }
  void watch(int fd) {
    const int life = life_;
    std::unique_lock lock(mutex_);
    ++watches_;
    long long sent = index_;
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n" +
                      chunk(listLocked(true, 0) + "\n");
    while (life == life_) {
      lock.unlock();
      while (isSilent_) sleepMs(10);
      const bool isWritten = writeAll(fd, out);
      lock.lock();
      if (!isWritten) break;
      const auto isDue = [&] { return index_ != sent || life != life_; };
      changed_.wait_for(lock, std::chrono::milliseconds(2000), isDue);
      out = chunk((index_ != sent ? listLocked(false, sent) : "") + "\n");
      sent = index_;
    }
    --watches_;
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Entry> entries_;
  long long index_ = 1;
  std::atomic<int> life_ = 0;
  std::atomic<int> watches_ = 0;
  std::atomic<bool> isSilent_ = false;
  Server server_; // last: its threads use the others
};

// The platform: build 1 is released and nothing is on trial. Votes count.
class Platform {
public:
  explicit Platform(int port) : server_(port, [](int fd) { serve(fd); }) {}

private:
  static void serve(int fd) {
    std::string in;
    HttpMessage request;
    while (readHttp(fd, in, request, kForever)) {
      if (request.first.find("/bulletin") == std::string::npos) {
        const std::string state = "<?xml version=\"1.0\"?>\n<Response><entries><item><build>1</build>"
                                  "<stage>1</stage><phase>Healthy</phase><cap>1</cap><age_ms>60000</age_ms>"
                                  "</item></entries></Response>";
        if (!writeAll(fd, httpResponse("200 OK", "text/xml", state))) return;
        continue;
      }
      std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n" +
                        chunk("event: stage\ndata: build=1&stage=1&phase=Healthy&cap=1&age_ms=60000\n\n");
      while (writeAll(fd, out)) {
        sleepMs(1000);
        out = chunk(":\n\n");
      }
      return;
    }
  }
  Server server_;
};

// The configuration of an instance, with settings like those of maps-main at its first size.
struct Config {
  std::string name = "n0";
  int listenPort = 0, discoveryPort = 0, platformPort = 0, peerPort = 0;
  int memoryMb = 192, sockets = 512;
  int instances = 1;
  std::string known;         // the list of nodes in discovery's form
  std::string furtherRoutes; // behind the three of maps-main
  std::string news = "{\"build\":1,\"stage\":1,\"phase\":\"Healthy\",\"cap\":1,\"age_ms\":60000}";
  std::string json() const {
    const std::string family =
        "\"control\":\"by_count\",\"caps\":[0.07,0.28,0.7,1.0],\"free\":2,"
        "\"guardedStages\":2,\"votesToGo\":1,\"noesNeeded\":1,\"voteStandsUs\":4000000,"
        "\"voteAllowance\":20,\"callTimeoutUs\":1200000";
    return "{\"name\":\"" + name + "\",\"listen\":\"" + at(listenPort) + "\",\"discovery\":\"" +
           at(discoveryPort) + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
           std::to_string(memoryMb) + ",\"sockets\":" + std::to_string(sockets) + "},\"peer_listen\":\"" +
           at(peerPort) + "\",\"peers\":[\"" + at(peerPort) + "\"],\"platform\":{\"address\":\"" +
           at(platformPort) + "\",\"news\":" + news + "}," +
           (known.empty() ? "" : "\"known\":" + known + ",") +
           "\"settings\":{\"me\":0,\"peersTotal\":" + std::to_string(instances) +
           ",\"locality\":0,\"failureDomains\":[\"hall-a\"],"
           "\"registryMode\":\"ask\",\"resolutionUs\":1000,\"services\":["
           "{\"name\":\"floor-tiles\",\"effect\":\"free\",\"onTimeUs\":500000,\"deadlineUs\":2000000,"
           "\"worth\":1},"
           "{\"name\":\"walk-route\",\"effect\":\"free\",\"onTimeUs\":300000,\"deadlineUs\":1000000,"
           "\"worth\":3},"
           "{\"name\":\"map-fix\",\"effect\":\"guarded\",\"group\":\"all\",\"repeatWindowUs\":1000000,"
           "\"onTimeUs\":400000,\"deadlineUs\":1500000,\"worth\":5}" +
           furtherRoutes + "],\"familyInfo\":{" + family +
           "},\"contract\":{\"coldFrom\":0.35,\"coldUs\":4100000,\"fallMultiple\":4,\"tipAfterUs\":2000000},"
           "\"limits\":{\"mostTries\":4,\"peers\":false,\"retryAfter\":true,\"maxRetryAfterUs\":500000,"
           "\"connectTimeoutUs\":250000,\"connIdleUs\":30000000},\"telemetry\":{\"fields\":[]}}}";
  }
};

inline void writeFile(const std::string &path, const std::string &text) {
  std::ofstream out(path);
  out << text;
  check(static_cast<bool>(out.flush()), "cannot write " + path);
}

// The [fleet] settings of member `own` of the members at `ports`; keys that are left out have the values
// of deploy/fleet.toml.
inline std::string fleetSettings(std::size_t own, const std::vector<int> &ports, const std::string &folder,
                                 const std::string &further) {
  std::string out = "[fleet]\nname = \"m" + std::to_string(own + 1) + "\"\nlisten = \"" + at(ports[own]) +
                    "\"\nfolder = \"" + folder + "\"\n" + further;
  for (std::size_t i = 0; i < ports.size(); ++i)
    out += "[[fleet.member]]\nname = \"m" + std::to_string(i + 1) + "\"\naddress = \"" + at(ports[i]) +
           "\"\n";
  return out;
}

// What run.sh hands over: the folder of the case, a temporary folder, the deploy file's `run`, and TROUBLE.
struct Setting {
  std::string temporary, run;
  bool isTroubled = true;
};
inline Setting begin(int argc, char **argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s RECORD TEMPORARY-FOLDER RUN-COMMAND\n", argv[0]);
    std::exit(kCouldNotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  recordFile = std::fopen(argv[1], "w");
  check(recordFile != nullptr, "cannot write the record");
  const char *trouble = std::getenv("TROUBLE");
  const Setting out{argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
  record("%s the disruption", out.isTroubled ? "with" : "without");
  std::thread([] { // bounds the whole case
    sleepMs(110'000);
    finish(kCouldNotRun, "the case took too long");
  })
      .detach();
  return out;
}

} // namespace review
