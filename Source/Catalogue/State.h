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

/// An accepted entry with its place in the history of its name.
struct VersionedEntry {
  /// Counts the accepted changes of this name; the first is 1.
  std::uint64_t m_Version = 0;
  /// Offset of the record that made this version.
  std::uint64_t m_Offset = 0;
  std::string m_Owner;
  /// The entry's YAML text.
  std::string m_Body;
  /// Set if the entry was deleted; the version is kept so that an older
  /// change can't bring it back.
  bool m_Deleted = false;

  bool operator==(const VersionedEntry &) const = default;
};

/// What became of the changes of one append.
struct Outcome {
  std::string m_AppendId;
  std::uint64_t m_Offset = 0;
  base::ResultCode m_Code = base::ResultCode::Ok;
  /// Why it was rejected, and by which version.
  std::string m_Message;

  [[nodiscard]] bool accepted() const { return m_Code == base::ResultCode::Ok; }
  bool operator==(const Outcome &) const = default;
};

/// The catalogue as of one offset of the log.
///
/// A pure function of the records in offset order, so that every reader
/// decides alike. The text of an entry plays no part in the decision: readers
/// of different program versions would else disagree for good.
class State {
public:
  /// Outcomes kept to recognise an append that is repeated.
  static constexpr std::size_t MaxOutcomes = 2048;

  /// Applies the record at \p Offset, which must be offset() + 1.
  ///
  /// \returns what became of its changes, or none if it holds no changes. An
  /// append identifier that was seen before gives its first outcome again.
  std::optional<Outcome> apply(std::uint64_t Offset,
                               const wire::LogRecord &Record);

  /// Replaces the state by a snapshot and takes on its offset.
  void load(const wire::CatalogueSnapshot &Snapshot);

  /// Writes the state and its offset into \p Snapshot.
  void save(wire::CatalogueSnapshot &Snapshot) const;

  /// \returns the offset of the last applied record; 0 before the first.
  [[nodiscard]] std::uint64_t offset() const { return m_Offset; }

  /// \returns the offset of the newest accepted change; 0 if there is none.
  [[nodiscard]] std::uint64_t changeOffset() const { return m_ChangeOffset; }

  /// \returns all entries by name, with the deleted ones.
  [[nodiscard]] const std::map<std::string, VersionedEntry> &entries() const {
    return m_Entries;
  }

  /// \returns the outcome of an append among the newest MaxOutcomes.
  [[nodiscard]] std::optional<Outcome>
  outcome(const std::string &AppendId) const;

  /// Decides on changes without applying them.
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
  std::deque<std::string> m_OutcomeOrder;
};

} // namespace corneldeck::catalogue

#endif
