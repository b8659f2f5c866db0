#ifndef CORNELDECK_CATALOGUE_STATE_H
#define CORNELDECK_CATALOGUE_STATE_H

#include "Base/ResultCode.h"
#include "Wire/Log.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace corneldeck::catalogue {

/// An accepted entry and its position in the history of its name.
struct VersionedEntry {
  /// Number of accepted changes of this name, including this one.
  std::uint64_t m_Version = 0;
  /// Offset of the record that created this version.
  std::uint64_t m_Offset = 0;
  std::string m_Owner;
  /// The entry's YAML text.
  std::string m_Body;
  /// Set if the entry was deleted. The version is kept so that an older change
  /// can't restore the entry.
  bool m_Deleted = false;

  bool operator==(const VersionedEntry &) const = default;
};

/// The outcome of the changes in one append.
struct Outcome {
  std::string m_AppendId;
  std::uint64_t m_Offset = 0;
  base::ResultCode m_Code = base::ResultCode::Ok;
  /// Why the changes were rejected.
  std::string m_Message;

  [[nodiscard]] bool accepted() const { return m_Code == base::ResultCode::Ok; }
  bool operator==(const Outcome &) const = default;
};

/// The catalogue as of one offset of the log.
///
/// The state depends only on the records in offset order, so all readers accept
/// the same changes. The text of an entry is not parsed here: otherwise readers
/// with different program versions could accept different changes and diverge
/// permanently.
class State {
public:
  /// Number of outcomes that are kept to recognise repeated appends.
  static constexpr std::size_t MaxOutcomes = 2048;

  /// Applies the record at \p Offset, which must be offset() + 1.
  ///
  /// \returns the outcome of the record's changes, or none if it contains no
  /// changes. For an append identifier that was applied before, it is the first
  /// outcome.
  std::optional<Outcome> apply(std::uint64_t Offset,
                               const wire::LogRecord &Record);

  /// Replaces the state and its offset by those of a snapshot.
  void load(const wire::CatalogueSnapshot &Snapshot);

  /// Writes the state and its offset into \p Snapshot.
  void save(wire::CatalogueSnapshot &Snapshot) const;

  /// \returns the offset of the last applied record; 0 before the first.
  [[nodiscard]] std::uint64_t offset() const { return m_Offset; }

  /// \returns the offset of the newest accepted change; 0 if there is none.
  [[nodiscard]] std::uint64_t changeOffset() const { return m_ChangeOffset; }

  /// \returns all entries by name, including deleted ones.
  [[nodiscard]] const std::map<std::string, VersionedEntry> &entries() const {
    return m_Entries;
  }

  /// \returns the outcome of an append, or none if it is not among the newest
  /// MaxOutcomes.
  [[nodiscard]] std::optional<Outcome>
  outcome(const std::string &AppendId) const;

  /// Evaluates changes without applying them.
  ///
  /// \returns Ok, or the code of the first change that would be rejected, with
  /// the reason.
  [[nodiscard]] Outcome evaluate(const wire::LogRecord &Record) const;

  bool operator==(const State &) const = default;

private:
  [[nodiscard]] Outcome
  evaluateChange(const wire::CatalogueChange &Change) const;
  void applyChange(const wire::CatalogueChange &Change);
  void storeOutcome(const Outcome &Result);

  std::uint64_t m_Offset = 0;
  std::uint64_t m_ChangeOffset = 0;
  std::map<std::string, VersionedEntry> m_Entries;
  std::map<std::string, Outcome> m_Outcomes;
  /// Keys of m_Outcomes, oldest first.
  std::deque<std::string> m_OutcomeOrder;
};

} // namespace corneldeck::catalogue

#endif
