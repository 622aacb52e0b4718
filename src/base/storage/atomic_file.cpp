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

constexpr std::string_view kMagic = "myrtlehead ";
constexpr std::size_t kMaxFileBytes = 64u << 20; // 64 MiB

std::string headerFor(const FileIdentity &identity, std::string_view payload) {
  return fmt::format("{}{} of '{}', format {}, {} bytes, xxh3 {:016x}\n", kMagic, identity.content,
                     identity.owner, identity.format, payload.size(),
                     XXH3_64bits(payload.data(), payload.size()));
}

// Owns a file descriptor; the destructor closes it. Newly created files are readable by the owner only.
class File {
public:
  File(const char *path, int flags) : fd_(::open(path, flags | O_CLOEXEC, 0600)) {}
  ~File() {
    if (fd_ >= 0) close(fd_);
  }
  File(const File &) = delete;
  File &operator=(const File &) = delete;
  bool isOpen() const { return fd_ >= 0; }
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

// Describes a step that has just failed and set errno.
SaveError saveError(SaveError::Step step, const std::string &path) { return {step, path, errno}; }

std::string directoryOf(const std::string &path) {
  const auto slash = path.rfind('/');
  return slash == std::string::npos ? "." : path.substr(0, slash + 1);
}

} // namespace

std::string SaveError::message() const {
  constexpr const char *kSteps[] = {"open", "write", "replace", "sync the directory of"};
  return std::string("cannot ") + kSteps[static_cast<int>(step)] + " " + path + ": " +
         std::strerror(errorNumber);
}

std::string encode(const FileIdentity &identity, std::string_view payload) {
  return headerFor(identity, payload).append(payload);
}

LoadResult decode(std::string_view bytes, const FileIdentity &identity) {
  constexpr std::size_t kMaxQuotedHeaderBytes = 80;
  const auto headerEnd = bytes.find('\n');
  const auto header = bytes.substr(0, headerEnd);
  const auto expected = fmt::format("{}{} of '{}', format ", kMagic, identity.content, identity.owner);
  if (!header.starts_with(kMagic) || headerEnd == std::string_view::npos)
    return {bytes.empty() ? LoadStatus::corrupted : LoadStatus::foreign, "",
            "the file is not a state file of myrtlehead"};
  if (!header.starts_with(expected))
    return {LoadStatus::foreign, "",
            "the file has another kind of content or belongs to another instance; its header is: " +
                std::string(header.substr(0, kMaxQuotedHeaderBytes))};
  const auto formatEnd = header.find(',', expected.size());
  const auto format = header.substr(expected.size(), formatEnd - expected.size());
  if (format != std::to_string(identity.format))
    return {LoadStatus::unsupportedFormat, "",
            fmt::format("the file has format {}, but this program reads only format {}", format,
                        identity.format)};
  const auto payload = bytes.substr(headerEnd + 1);
  if (bytes.substr(0, headerEnd + 1) != headerFor(identity, payload))
    return {LoadStatus::corrupted, "", "the length or checksum of the file does not match its header"};
  return {LoadStatus::loaded, std::string(payload), ""};
}

LoadResult load(const std::string &path, const FileIdentity &identity) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return {LoadStatus::missing, "", "the file does not exist or cannot be opened"};
  std::ostringstream text;
  text << in.rdbuf();
  const auto bytes = std::move(text).str();
  auto result = bytes.size() > kMaxFileBytes
                    ? LoadResult{LoadStatus::corrupted, "", "the file is larger than 64 MiB"}
                    : decode(bytes, identity);
  if (result.status != LoadStatus::loaded) {
    const auto keptPath = path + ".refused";
    if (std::rename(path.c_str(), keptPath.c_str()) == 0) result.problem += "; kept as " + keptPath;
  }
  return result;
}

std::optional<SaveError> save(const std::string &path, std::string_view bytes) {
  using Step = SaveError::Step;
  const auto newPath = path + ".new";
  {
    const File file(newPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.isOpen()) return saveError(Step::open, newPath);
    if (!file.write(bytes) || !file.sync()) return saveError(Step::write, newPath);
  }
  if (std::rename(newPath.c_str(), path.c_str()) != 0) return saveError(Step::replace, path);
  const File directory(directoryOf(path).c_str(), O_RDONLY | O_DIRECTORY);
  if (!directory.isOpen() || !directory.sync()) return saveError(Step::syncDirectory, path);
  return std::nullopt;
}

AtomicFileWriter::~AtomicFileWriter() {
  {
    const std::lock_guard lock(mutex_);
    isClosing_ = true;
  }
  submitted_.notify_one();
  thread_.join();
}

void AtomicFileWriter::submit(std::string bytes) {
  {
    const std::lock_guard lock(mutex_);
    pendingBytes_ = std::move(bytes);
  }
  submitted_.notify_one();
}

std::optional<SaveError> AtomicFileWriter::takeLastError() {
  const std::lock_guard lock(mutex_);
  return std::exchange(lastError_, std::nullopt);
}

void AtomicFileWriter::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    submitted_.wait(lock, [&] { return pendingBytes_.has_value() || isClosing_; });
    if (!pendingBytes_) return;
    const auto bytes = *std::exchange(pendingBytes_, std::nullopt);
    lock.unlock();
    auto error = save(path_, bytes);
    lock.lock();
    if (error) lastError_ = std::move(error);
  }
}

} // namespace myrtlehead::storage
