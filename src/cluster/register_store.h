// The durable state of a member: its acceptors' registers, and its incarnation. A reply that promises
// something leaves only once the register is persisted.
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

// Why the storage has failed, in the words of the system or of SQLite.
struct StorageError {
  std::string message;
};

// The registers in memory, in the order of their keys; implementations write changes to a disk.
class RegisterStore {
public:
  using Registers = std::map<std::string, consensus::AcceptorState>;

  virtual ~RegisterStore() = default;
  // The register's state, created empty where there is none.
  consensus::AcceptorState &stateOf(const std::string &key) { return registers_[key]; }
  const Registers &all() const { return registers_; }
  // Returns once the register, as it was at the call, is on the disk. After an error no reply may leave that
  // depends on it.
  virtual sched::Task<std::optional<StorageError>> persist(std::string key) = 0;
  // Removes the register, without waiting for the disk.
  virtual void erase(const std::string &key) { registers_.erase(key); }
  // Greater than that of every earlier run of this member.
  std::uint64_t incarnation() const { return incarnation_; }

protected:
  Registers registers_;
  std::uint64_t incarnation_ = 1;
};

// In a SQLite file (WAL, synced), written by a thread of its own: all pending writes in one transaction. A
// file that is damaged, another member's or of a later format is set aside as FILE.refused, and the store
// starts empty.
class SqliteRegisterStore final : public RegisterStore {
public:
  // `unixNow`: Unix time in ns. Throws std::runtime_error with a sentence where the folder can't be written.
  SqliteRegisterStore(sched::Scheduler &sched, const std::string &folder, const std::string &memberName,
                      std::uint64_t unixNow);
  ~SqliteRegisterStore() override;
  sched::Task<std::optional<StorageError>> persist(std::string key) override;
  void erase(const std::string &key) override;
  // Wakes those that wait in persist(). Runs for as long as the instance lives.
  sched::Task<> notifyPersisted();
  // Why the earlier file was set aside; nullopt: it was not.
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
  int finishedEvent_ = -1; // eventfd: the writer has finished a batch
  std::mutex mutex_;       // guards what the two threads share: the queues and isClosing_
  std::condition_variable writerWake_;
  Writes pendingWrites_;
  Writes finishedWrites_;
  bool isClosing_ = false;
  std::thread writer_;
};

} // namespace myrtlehead::cluster
