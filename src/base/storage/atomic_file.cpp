#include "base/storage/atomic_file.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>
#include <xxhash.h>

namespace myrtlehead::storage {

namespace {

constexpr std::string_view kMark = "myrtlehead ";
constexpr std::size_t kMostBytes = 64u << 20;

std::string headerOf(const Kind &kind, std::string_view payload) {
  return fmt::format("{}{} of '{}', format {}, {} bytes, xxh3 {:016x}\n", kMark, kind.what, kind.of,
                     kind.format, payload.size(), XXH3_64bits(payload.data(), payload.size()));
}

// One descriptor, closed at the end.
class File {
public:
  File(const char *path, int flags) : fd_(::open(path, flags | O_CLOEXEC, 0600)) {}
  ~File() {
    if (fd_ >= 0) close(fd_);
  }
  File(const File &) = delete;
  File &operator=(const File &) = delete;
  bool opened() const { return fd_ >= 0; }
  bool write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const auto n = ::write(fd_, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  bool sync() const { return fsync(fd_) == 0; }

private:
  int fd_;
};

std::string fault(const char *doing, const std::string &path) {
  return std::string("can't ") + doing + " " + path + ": " + std::strerror(errno);
}

} // namespace

std::string seal(const Kind &kind, std::string_view payload) {
  return headerOf(kind, payload).append(payload);
}

Opened open(std::string_view bytes, const Kind &kind) {
  const auto end = bytes.find('\n');
  const auto header = bytes.substr(0, end);
  const auto expected = fmt::format("{}{} of '{}', format ", kMark, kind.what, kind.of);
  if (!header.starts_with(kMark) || end == std::string_view::npos)
    return {bytes.empty() ? Opened::torn : Opened::foreign, "", "it is no state of this program"};
  if (!header.starts_with(expected))
    return {Opened::foreign, "", "it is of another kind or marshal: " + std::string(header.substr(0, 80))};
  const auto format = header.substr(expected.size(), header.find(',', expected.size()) - expected.size());
  if (format != std::to_string(kind.format))
    return {Opened::otherFormat, "",
            fmt::format("it has format {}, and this program reads {}", format, kind.format)};
  const auto payload = bytes.substr(end + 1);
  if (bytes.substr(0, end + 1) != headerOf(kind, payload))
    return {Opened::torn, "", "its length or checksum is not the one that its first line tells"};
  return {Opened::none, std::string(payload), ""};
}

Opened load(const std::string &path, const Kind &kind) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return {Opened::missing, "", "there is none"};
  std::ostringstream text;
  text << in.rdbuf();
  auto bytes = std::move(text).str();
  auto out = bytes.size() > kMostBytes ? Opened{Opened::torn, "", "it is larger than 64 MiB"}
                                       : open(bytes, kind);
  if (out.refusal != Opened::none) {
    const auto aside = path + ".refused";
    if (std::rename(path.c_str(), aside.c_str()) == 0) out.why += "; kept as " + aside;
  }
  return out;
}

std::string save(const std::string &path, std::string_view bytes) {
  const auto beside = path + ".new";
  {
    const File file(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.opened()) return fault("open", beside);
    if (!file.write(bytes) || !file.sync()) return fault("write", beside);
  }
  if (std::rename(beside.c_str(), path.c_str()) != 0) return fault("replace", path);
  const auto slash = path.rfind('/');
  const File folder(slash == std::string::npos ? "." : path.substr(0, slash + 1).c_str(),
                    O_RDONLY | O_DIRECTORY);
  if (!folder.opened() || !folder.sync()) return fault("sync the folder of", path);
  return "";
}

Writer::~Writer() {
  {
    const std::lock_guard lock(mutex_);
    over_ = true;
  }
  handed_.notify_one();
  thread_.join();
}

void Writer::put(std::string bytes) {
  {
    const std::lock_guard lock(mutex_);
    next_ = std::move(bytes);
    waiting_ = true;
  }
  handed_.notify_one();
}

std::string Writer::lastFault() {
  const std::lock_guard lock(mutex_);
  return std::exchange(fault_, "");
}

void Writer::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    handed_.wait(lock, [&] { return waiting_ || over_; });
    if (!waiting_) return;
    waiting_ = false;
    const auto bytes = std::exchange(next_, "");
    lock.unlock();
    auto why = save(path_, bytes);
    lock.lock();
    if (!why.empty()) fault_ = std::move(why);
  }
}

} // namespace myrtlehead::storage
