// The durable state of a member: the acceptor's state of each register, and the member's incarnation. A reply
// that grants a proposal may be sent only after the register's state has been persisted.
#pragma once

#include "base/sched/scheduler.h"
#include "policy/consensus_register.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

struct sqlite3;

namespace myrtlehead::cluster {

// Why the storage failed, with the message of the operating system or SQLite.
struct StorageError {
  std::string message;
};

// Keeps the registers in memory, ordered by key. Implementations write changes to a disk.
class RegisterStore {
public:
  using Registers = std::map<std::string, consensus::AcceptorState>;

  virtual ~RegisterStore() = default;
  // Returns the register's state; creates an empty state if the register does not exist.
  consensus::AcceptorState &stateOf(const std::string &key) { return registers_[key]; }
  const Registers &all() const { return registers_; }
  // Returns once the register's state at the time of the call is on the disk. After an error, no reply that
  // depends on this state may be sent.
  virtual sched::Task<std::optional<StorageError>> persist(std::string key) = 0;
  // Removes the register, without waiting for the disk.
  virtual void erase(const std::string &key) { registers_.erase(key); }
  // The number of this run of the member; greater than the numbers of all its earlier runs.
  std::uint64_t incarnation() const { return incarnation_; }

protected:
  Registers registers_;
  std::uint64_t incarnation_ = 1;
};

// Stores the registers in a SQLite file with a write-ahead log and full synchronisation. A separate thread
// writes pending changes, up to a limit in one transaction. A file that is damaged, that belongs to another
// member or that has another format version is renamed to FILE.refused, and the store starts empty.
class SqliteRegisterStore final : public RegisterStore {
public:
  // `unixNow` is the Unix time in ns. Throws std::runtime_error if the folder can't be created or written, or
  // if no new file can be created in it.
  SqliteRegisterStore(sched::Scheduler &sched, const std::string &folder, const std::string &memberName,
                      std::uint64_t unixNow);
  ~SqliteRegisterStore() override;
  sched::Task<std::optional<StorageError>> persist(std::string key) override;
  void erase(const std::string &key) override;
  // Wakes the coroutines that wait in persist(); does not return.
  sched::Task<> notifyPersisted();
  // Why the existing file was renamed to FILE.refused; nullopt if it was not renamed.
  const std::optional<StorageError> &setAsideReason() const { return setAsideReason_; }

private:
  struct Write {
    std::string key;
    consensus::AcceptorState state;
    bool isErase = false;
    bool isFinished = false;
    std::optional<StorageError> error;
    sched::Event finished;
  };
  using Writes = std::deque<std::shared_ptr<Write>>;

  void openOrSetAside(const std::string &memberName, std::uint64_t unixNow);
  std::optional<StorageError> open(const std::string &memberName, std::uint64_t unixNow);
  void openDatabase();
  std::optional<StorageError> readMeta(const std::string &memberName);
  void loadRegisters();
  void runWriter();
  Writes nextBatch();
  std::optional<StorageError> writeBatch(const Writes &batch);

  sched::Scheduler &sched_;
  std::string path_;
  std::optional<StorageError> setAsideReason_;
  sqlite3 *db_ = nullptr;
  int finishedEventFd_ = -1; // an eventfd, which the writer thread signals after each batch
  std::mutex mutex_;         // guards pendingWrites_, finishedWrites_ and isClosing_
  std::condition_variable writerWake_;
  Writes pendingWrites_;
  Writes finishedWrites_;
  bool isClosing_ = false;
  std::thread writer_;
};

} // namespace myrtlehead::cluster
