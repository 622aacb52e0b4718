// Stand-ins for the cases of this review: endpoints, discovery, the platform, a DNS server, and clients of
// both kinds (statements and jobs). One thread a connection, blocking sockets, loopback addresses only. They
// follow the protocol pages; where a page is silent they behave like a sound server, client or platform.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand_ins {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Seconds since the case began.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The record of a case: one line for each thing sent, answered or run, with its time.
class Record {
public:
  explicit Record(const std::string &path) : file_(std::fopen(path.c_str(), "w")) { now(); }
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  __attribute__((format(printf, 2, 3))) void line(const char *format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    for (auto *out : {file_, stdout}) {
      if (out == nullptr) continue;
      std::fprintf(out, "%8.3f %s\n", now(), text);
      std::fflush(out);
    }
  }

private:
  std::FILE *file_;
  std::mutex mutex_;
};

// Sockets.

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

// Returns a bound socket, or -1.
inline int bound(int type, int port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 &&
      (type != SOCK_STREAM || listen(fd, 128) == 0))
    return fd;
  close(fd);
  return -1;
}

// Returns a port that is free now, below the range that the system gives to outgoing connections.
inline int freePort() {
  static int next = 12'000 + static_cast<int>(getpid()) % 1500 * 12;
  for (;; ++next) {
    const int tcp = bound(SOCK_STREAM, next), udp = bound(SOCK_DGRAM, next);
    if (tcp >= 0) close(tcp);
    if (udp >= 0) close(udp);
    if (tcp >= 0 && udp >= 0) return next++;
  }
}

// A TCP connection that reads by bytes and gives up at a time.
class Connection {
public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { close(fd_); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  static std::unique_ptr<Connection> open(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
      return std::make_unique<Connection>(fd);
    close(fd);
    return nullptr;
  }
  bool write(const std::string &bytes) {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  // Reads more bytes into `received`. Returns false at the end of the connection or at `until`.
  bool more(double until) {
    pollfd p{fd_, POLLIN, 0};
    const double left = until - now();
    if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char bytes[65536];
    const auto n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    received.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  // Closes so that the peer sees a reset.
  void resetAtClose() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  void shutdown() { ::shutdown(fd_, SHUT_RDWR); }
  std::string received;

private:
  int fd_;
};
using ConnectionPtr = std::unique_ptr<Connection>;

constexpr double kForever = 1e6;

// Accepts connections on a port and serves each in a thread.
class Server {
public:
  explicit Server(int port) : port_(port), fd_(bound(SOCK_STREAM, port)) {}
  virtual ~Server() = default;
  int port() const { return port_; }
  bool isListening() const { return fd_ >= 0; }
  void start() {
    std::thread([this] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd] { serve(std::make_unique<Connection>(fd)); }).detach();
      }
    }).detach();
  }

protected:
  virtual void serve(ConnectionPtr connection) = 0;

private:
  int port_;
  int fd_;
};

// PostgreSQL's protocol, version 3.

namespace pg {

inline std::string int32(std::uint32_t value) {
  std::string out;
  for (const int shift : {24, 16, 8, 0}) out += static_cast<char>(value >> shift);
  return out;
}
inline std::string message(char type, const std::string &body) {
  return type + int32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string text(const std::string &value) { return value + '\0'; }
inline std::string query(const std::string &sql) { return message('Q', text(sql)); }
inline std::string startup() {
  const auto body = int32(3 << 16) + text("user") + text("svc") + text("database") + text("main") + '\0';
  return int32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string ready() { return message('Z', "I"); }
inline std::string error(const std::string &code, const std::string &why) {
  return message('E', "S" + text("ERROR") + "V" + text("ERROR") + "C" + text(code) + "M" + text(why) + '\0');
}
inline std::string row(const std::string &value) {
  const std::string one("\0\1", 2), zero("\0\0", 2);
  return message('T', one + text("v") + int32(0) + zero + int32(25) + std::string("\xff\xff", 2) +
                          int32(0xffffffff) + zero) +
         message('D', one + int32(static_cast<std::uint32_t>(value.size())) + value);
}

// Takes the first message off `in`. Returns false if it is not complete.
inline bool take(std::string &in, char &type, std::string &body) {
  if (in.size() < 5) return false;
  std::uint32_t size = 0;
  for (int i = 1; i <= 4; ++i) size = size << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
  if (in.size() < size + 1) return false;
  type = in[0];
  body = in.substr(5, size - 4);
  in.erase(0, size + 1);
  return true;
}

// The value of a field of the statement's comment.
inline std::string field(const std::string &sql, const std::string &name) {
  const auto comment = sql.find("/*");
  for (const char *before : {" ", ",", "*"}) {
    const auto found = sql.find(before + name + "=", comment == std::string::npos ? 0 : comment);
    if (found == std::string::npos) continue;
    const auto from = found + name.size() + 2;
    return sql.substr(from, sql.find_first_of(", *", from) - from);
  }
  return "";
}
// The first literal in single quotes: the row's key.
inline std::string literal(const std::string &sql) {
  const auto from = sql.find('\'') + 1;
  return sql.substr(from, sql.find('\'', from) - from);
}

} // namespace pg

// An endpoint. `onStatement` decides what becomes of a statement that has arrived whole.
class Node : public Server {
public:
  enum class Reply { row, error, turnedAway, resetAfterRun, silence };
  Node(std::string name, int port) : Server(port), name(std::move(name)) {}
  const std::string name;
  std::string load = "waiting=0"; // the load report; empty: none
  // Called with the statement's text, in the thread of its connection.
  std::function<Reply(Node &, const std::string &)> onStatement;

protected:
  void serve(ConnectionPtr connection) override {
    auto &in = connection->received;
    while (in.size() < 4 ||
           in.size() < static_cast<unsigned char>(in[3]) + 256u * static_cast<unsigned char>(in[2]))
      if (!connection->more(kForever)) return;
    in.erase(0, static_cast<unsigned char>(in[3]) + 256u * static_cast<unsigned char>(in[2]));
    if (!connection->write(pg::message('R', pg::int32(0)) + pg::ready())) return;
    for (;;) {
      char type = 0;
      std::string body;
      while (!pg::take(in, type, body))
        if (!connection->more(kForever)) return;
      if (type != 'Q' || body.empty()) return;
      body.pop_back();
      std::string out;
      if (body.empty()) {
        out = pg::message('I', "");
      } else {
        const auto reply = onStatement(*this, body);
        if (reply == Reply::resetAfterRun) return connection->resetAtClose();
        if (reply == Reply::silence) {
          while (connection->more(kForever)) {}
          return;
        }
        if (reply == Reply::error) out = pg::error("XX000", "the endpoint failed the statement");
        if (reply == Reply::turnedAway) out = pg::error("53300", "the endpoint is draining");
        if (reply == Reply::row)
          out = pg::row(name + " " + pg::field(body, "id")) +
                pg::message('C', pg::text(body[0] == 'S' ? "SELECT 1" : "INSERT 0 1"));
        if (!load.empty()) out += pg::message('S', pg::text("load") + pg::text(load));
      }
      if (!connection->write(out + pg::ready())) return;
    }
  }
};

// A client's connection for statements, one at a time.
class Client {
public:
  struct Answer {
    enum { row, refused, failed, closed, none } kind = none;
    std::string text;
    double at = 0;
  };
  explicit Client(int port) : port_(port) {}
  // Sends the statement and waits for its answer for `patience` seconds.
  Answer ask(const std::string &sql, double patience) {
    const double until = now() + patience;
    if (connection_ == nullptr) {
      connection_ = Connection::open(port_);
      if (connection_ == nullptr || !connection_->write(pg::startup()) || !readAnswer(until)) return end();
    }
    if (!connection_->write(pg::query(sql))) return end();
    const auto answer = readAnswer(until);
    if (!answer) return end();
    return *answer;
  }
  // Whether the instance answers an empty query.
  bool isServing() { return ask("", 1).kind != Answer::closed; }

private:
  Answer end() {
    connection_ = nullptr;
    return {Answer::closed, "", now()};
  }
  std::optional<Answer> readAnswer(double until) {
    Answer out;
    for (;;) {
      char type = 0;
      std::string body;
      while (!pg::take(connection_->received, type, body))
        if (!connection_->more(until)) return std::nullopt;
      out.at = now();
      if (type == 'D') out = {Answer::row, body.substr(6), now()};
      if (type == 'E') {
        const auto code = body.substr(body.find(std::string(1, '\0') + "C") + 2, 5);
        out = {code == "53300" || code == "57P03" ? Answer::refused : Answer::failed, code, now()};
      }
      if (type == 'Z') return out;
    }
  }
  int port_;
  ConnectionPtr connection_;
};

// HTTP/1.1.

struct HttpResponse {
  int status = 0; // 0: no response
  std::string body;
};

// Sends one request on a connection of its own.
inline HttpResponse http(int port, const std::string &method, const std::string &target,
                         const std::string &body, double patience) {
  const auto connection = Connection::open(port);
  const double until = now() + patience;
  if (connection == nullptr ||
      !connection->write(method + " " + target + " HTTP/1.1\r\nHost: m\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body))
    return {};
  auto &in = connection->received;
  auto headEnd = in.find("\r\n\r\n");
  for (; headEnd == std::string::npos; headEnd = in.find("\r\n\r\n"))
    if (!connection->more(until)) return {};
  const auto sizeAt = in.find("Content-Length: ");
  const auto size = sizeAt < headEnd ? std::stoul(in.substr(sizeAt + 16)) : 0;
  while (in.size() < headEnd + 4 + size)
    if (!connection->more(until)) return {};
  return {std::stoi(in.substr(9, 3)), in.substr(headEnd + 4, size)};
}

// The value of a string or number member of a JSON object, found by its name.
inline std::string jsonMember(const std::string &json, const std::string &name) {
  const auto found = json.find("\"" + name + "\":");
  if (found == std::string::npos) return "";
  auto from = found + name.size() + 3;
  if (json[from] == '"') return json.substr(from + 1, json.find('"', from + 1) - from - 1);
  return json.substr(from, json.find_first_of(",}", from) - from);
}

inline std::string chunk(const std::string &text) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class HttpServer : public Server {
public:
  using Server::Server;

protected:
  // Answers one request. Returns false if the connection is over.
  virtual bool answer(Connection &connection, const std::string &head, const std::string &body) = 0;
  void serve(ConnectionPtr connection) override {
    auto &in = connection->received;
    for (;;) {
      auto headEnd = in.find("\r\n\r\n");
      for (; headEnd == std::string::npos; headEnd = in.find("\r\n\r\n"))
        if (!connection->more(kForever)) return;
      const auto head = in.substr(0, headEnd + 2);
      const auto sizeAt = head.find("Content-Length: ");
      const auto size = sizeAt == std::string::npos ? 0 : std::stoul(head.substr(sizeAt + 16));
      while (in.size() < headEnd + 4 + size)
        if (!connection->more(kForever)) return;
      const auto body = in.substr(headEnd + 4, size);
      in.erase(0, headEnd + 4 + size);
      if (!answer(*connection, head, body)) return;
    }
  }
};

// Discovery: the list, and watches on it. A line every 2 s while nothing changes.
class Discovery : public HttpServer {
public:
  using HttpServer::HttpServer;
  struct Entry {
    std::string name, address, status = "in_service";
    int release = 1;
    std::uint64_t version = 1;
  };
  void set(const std::string &name, const std::string &address, const std::string &status) {
    const std::lock_guard lock(mutex_);
    entries_[name] = {name, address, status, 1, ++index_};
  }
  // Called after a line with the entry has been written on a watch.
  std::function<void(const Entry &)> onTold;
  std::string list(bool isSnapshot, std::uint64_t after, std::uint64_t &index, std::vector<Entry> &told) {
    const std::lock_guard lock(mutex_);
    index = index_;
    std::string out;
    for (const auto &[name, e] : entries_) {
      if (isSnapshot ? e.status == "terminated" : e.version <= after) continue;
      out += (out.empty() ? "" : ",") + std::string("{\"name\":\"") + e.name + "\",\"address\":\"" +
             e.address + "\",\"zone\":\"hall-a\",\"type\":\"std-4c\",\"group\":0,\"status\":\"" + e.status +
             "\",\"weight\":1.0,\"since_ms\":0,\"release\":" + std::to_string(e.release) + "}";
      told.push_back(e);
    }
    return "{\"index\":" + std::to_string(index) + ",\"snapshot\":" + (isSnapshot ? "true" : "false") +
           ",\"endpoints\":[" + out + "]}";
  }

protected:
  bool answer(Connection &connection, const std::string &head, const std::string &) override {
    std::uint64_t index = 0;
    std::vector<Entry> told;
    if (head.find("stream=1") == std::string::npos) {
      const auto text = list(true, 0, index, told);
      return connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(text.size()) + "\r\n\r\n" + text);
    }
    auto text = list(true, 0, index, told) + "\n";
    if (!connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text)))
      return false;
    report(told);
    for (double lineAt = now();;) {
      sleepFor(0.01);
      std::uint64_t newIndex = 0;
      told.clear();
      text = list(false, index, newIndex, told) + "\n";
      if (newIndex == index && now() - lineAt < 2) continue;
      if (!connection.write(chunk(newIndex == index ? "\n" : text))) return false;
      if (newIndex != index) report(told);
      index = newIndex;
      lineAt = now();
    }
  }

private:
  void report(const std::vector<Entry> &told) {
    for (const auto &entry : told)
      if (onTold) onTold(entry);
  }
  std::mutex mutex_;
  std::map<std::string, Entry> entries_;
  std::uint64_t index_ = 1;
};

// The platform, with build 1 released and no other on offer.
class Platform : public HttpServer {
public:
  using HttpServer::HttpServer;

protected:
  bool answer(Connection &connection, const std::string &head, const std::string &) override {
    if (head.find("GET /bulletin") != 0) {
      const std::string stale = "<?xml version=\"1.0\"?>\n<Error><Code>STALE</Code></Error>";
      return connection.write("HTTP/1.1 400 Bad Request\r\nContent-Type: text/xml\r\nContent-Length: " +
                              std::to_string(stale.size()) + "\r\n\r\n" + stale);
    }
    auto text = std::string("event: stage\ndata: build=1&stage=3&phase=Healthy&cap=1&age_ms=60000\n\n");
    if (!connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n" +
                          chunk(text)))
      return false;
    do sleepFor(1);
    while (connection.write(chunk(":\n")));
    return false;
  }
};

// A DNS server for SRV records and the addresses of their targets, over UDP.
class Dns {
public:
  explicit Dns(int port) : port_(port), fd_(bound(SOCK_DGRAM, port)) {}
  int port() const { return port_; }
  // Called for each question that is answered: its type, its name in lower case, the number of records.
  std::function<void(const char *, const std::string &, int)> onAnswered;
  // Names a server of the service.
  void add(const std::string &service, const std::string &host, int port) {
    const std::lock_guard lock(mutex_);
    targets_[service].push_back({host, port});
  }
  std::uint32_t ttl = 60; // seconds
  void start() {
    std::thread([this] {
      for (;;) {
        char bytes[2048];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto n = recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr *>(&from), &size);
        if (n < 17) continue;
        const auto out = answerTo(std::string(bytes, static_cast<std::size_t>(n)));
        sendto(fd_, out.data(), out.size(), 0, reinterpret_cast<sockaddr *>(&from), size);
      }
    }).detach();
  }

private:
  static std::string int16(unsigned value) {
    return {static_cast<char>(value >> 8), static_cast<char>(value & 0xff)};
  }
  static std::string encoded(const std::string &name) {
    std::string out;
    for (std::size_t from = 0; from < name.size();) {
      const auto end = std::min(name.find('.', from), name.size());
      out += static_cast<char>(end - from) + name.substr(from, end - from);
      from = end + 1;
    }
    return out + std::string(1, 0);
  }
  std::string answerTo(const std::string &query) {
    const std::lock_guard lock(mutex_);
    std::string name;
    std::size_t at = 12;
    while (at < query.size() && query[at] != 0) {
      const auto size = static_cast<unsigned char>(query[at]);
      for (std::size_t i = 1; i <= size && at + i < query.size(); ++i)
        name += static_cast<char>(std::tolower(static_cast<unsigned char>(query[at + i])));
      name += '.';
      at += size + 1u;
    }
    if (at + 5 > query.size()) return "";
    const auto question = query.substr(12, at + 5 - 12);
    const int type = static_cast<unsigned char>(query[at + 2]);
    constexpr int kA = 1, kSrv = 33;
    std::vector<std::string> data;
    bool exists = false;
    for (const auto &[service, targets] : targets_)
      for (const auto &[host, port] : targets) {
        exists = exists || name == service + "." || name == host + ".";
        if (type == kSrv && name == service + ".")
          data.push_back(int16(0) + int16(1) + int16(static_cast<unsigned>(port)) + encoded(host));
        if (type == kA && name == host + ".") data.push_back(std::string("\x7f\0\0\1", 4));
      }
    std::string out = query.substr(0, 2) + std::string(exists ? "\x85\0" : "\x85\3", 2) + int16(1) +
                      int16(static_cast<unsigned>(data.size())) + int16(0) + int16(0) + question;
    for (const auto &item : data)
      out += int16(0xc00c) + int16(static_cast<unsigned>(type)) + int16(1) + pg::int32(ttl) +
             int16(static_cast<unsigned>(item.size())) + item;
    if (onAnswered)
      onAnswered(type == kSrv ? "SRV" : type == kA ? "A" : "other", name, static_cast<int>(data.size()));
    return out;
  }
  struct Target {
    std::string host;
    int port;
  };
  std::mutex mutex_;
  int port_;
  int fd_;
  std::map<std::string, std::vector<Target>> targets_;
};

// A process that a case has started with the command of the deploy file.
class Process {
public:
  // `command` is run by /bin/sh -c, with PROXY_CONFIG set. Its output goes to the file `log`.
  Process(const std::string &command, const std::string &config, const std::string &log) {
    pid_ = fork();
    if (pid_ > 0) remember(pid_);
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the case, however that ends
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    setenv("PROXY_CONFIG", config.c_str(), 1);
    execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  ~Process() { end(SIGKILL); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  static void endAll() {
    const std::lock_guard lock(running().mutex);
    for (const pid_t pid : running().pids) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  void signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  // Sends the signal and waits for the end of the process. Returns its status as waitpid() gives it.
  int end(int number) {
    if (pid_ <= 0) return 0;
    signal(number);
    return wait();
  }
  int wait() {
    int status = 0;
    waitpid(pid_, &status, 0);
    forget();
    return status;
  }
  bool hasEnded() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) forget();
    return pid_ <= 0;
  }

private:
  struct Running {
    std::mutex mutex;
    std::set<pid_t> pids;
  };
  static Running &running() {
    static Running running;
    return running;
  }
  static void remember(pid_t pid) {
    const std::lock_guard lock(running().mutex);
    running().pids.insert(pid);
  }
  void forget() {
    const std::lock_guard lock(running().mutex);
    running().pids.erase(pid_);
    pid_ = -1;
  }
  pid_t pid_ = -1;
};

inline std::string environment(const char *name) {
  const auto *value = std::getenv(name);
  return value == nullptr ? "" : value;
}

// Ends the processes that were started, and the case itself. The threads of the stand-ins never end, so
// nothing that they use is destroyed before.
[[noreturn]] inline void endCase(int result) {
  Process::endAll();
  std::fflush(nullptr);
  _exit(result);
}

// What run.sh hands to a case.
struct Setup {
  std::string run = environment("CASE_RUN");       // the deploy file's command
  std::string folder = environment("CASE_FOLDER"); // a temporary folder
  std::string record = environment("CASE_RECORD"); // the path of record.txt
  bool hasTrouble = environment("TROUBLE") != "0"; // whether the disruption is played
};

inline void writeFile(const std::string &path, const std::string &text) { std::ofstream(path) << text; }

// Waits until the instance answers an empty query. Returns false after `seconds`.
inline bool waitUntilServing(int port, double seconds) {
  for (const double until = now() + seconds; now() < until; sleepFor(0.05))
    if (Client(port).isServing()) return true;
  return false;
}

// The settings of a small deployment: the routes, times and limits of maps-main.
inline std::string deploymentSettings(int me, int peersTotal) {
  return R"({"me":)" + std::to_string(me) + R"(,"peersTotal":)" + std::to_string(peersTotal) +
         R"(,"locality":0,"failureDomains":["hall-a","hall-b","hall-c"],"registryMode":"ask","resolutionUs":5000,
    "services":[
      {"name":"floor-tiles","effect":"free","group":"all","onTimeUs":500000,"deadlineUs":2000000,"repeatWindowUs":5000000,"worth":1},
      {"name":"walk-route","effect":"free","group":"all","onTimeUs":300000,"deadlineUs":1000000,"repeatWindowUs":5000000,"worth":3},
      {"name":"map-fix","effect":"guarded","group":"all","onTimeUs":400000,"deadlineUs":1500000,"repeatWindowUs":1000000,"worth":5}],
    "familyInfo":{"control":"by_count","caps":[0.07,0.28,0.7,1.0],"shares":[0.05,0.2,0.5,1.0],"free":2,"guardedStages":2,
      "votesToGo":2,"noesNeeded":1,"bakeUs":1500000,"spanUs":6000000,"swap":"replace","foundShare":0.15,
      "voteStandsUs":4000000,"voteAllowance":400,"callTimeoutUs":1200000,"newsPeriodUs":6000000},
    "contract":{"askEveryUs":10000000,"coldFrom":0.35,"coldUs":4099999,"drainGraceUs":250000,"fallMultiple":4,
      "graceToAnswerUs":20000,"tipAfterUs":2000000},
    "limits":{"mostTries":4,"peers":false,"retryAfter":false,"maxRetryAfterUs":500000,"connectTimeoutUs":250000,
      "connIdleUs":30000000},
    "telemetry":{"fields":["waiting"],"source":"piggyback"}})";
}

// A configuration in the platform's form. `known`: the list as the instance last had it; empty: none.
inline std::string configuration(const std::string &name, int listen, int discovery, int platform,
                                 const std::string &known, const std::string &settings) {
  return R"({"name":")" + name + R"(","listen":")" + at(listen) + R"(","discovery":")" + at(discovery) +
         R"(","seed":"8c1f30d27a5be96)" + std::to_string(listen % 10) +
         R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"platform":{"address":")" + at(platform) +
         R"(","news":{"build":1,"stage":3,"phase":"Healthy","cap":1,"age_ms":60000}},)" +
         (known.empty() ? "" : "\"known\":" + known + ",") + "\"settings\":" + settings + "}";
}

// The [fleet] settings of a member; keys that are not in `more` have their defaults.
inline std::string fleetSettings(std::size_t member, const std::vector<int> &ports, const std::string &folder,
                                 const std::string &more = "") {
  std::string out = "[fleet]\nname = \"m" + std::to_string(member + 1) + "\"\nlisten = \"" +
                    at(ports[member]) + "\"\nfolder = \"" + folder + "/m" + std::to_string(member + 1) +
                    "\"\n" + more;
  for (std::size_t m = 0; m < ports.size(); ++m)
    out += "[[fleet.member]]\nname = \"m" + std::to_string(m + 1) + "\"\naddress = \"" + at(ports[m]) +
           "\"\n";
  return out;
}

} // namespace stand_ins
