#include "Feed/StateHistory.h"

#include "Base/Random.h"

#include <gtest/gtest.h>

namespace corneldeck::feed {

namespace {

std::string randomText(std::size_t Size, std::uint64_t Seed) {
  base::Random Rng(Seed);
  std::string Text(Size, ' ');
  for (char &Each : Text)
    Each = static_cast<char>('a' + Rng.below(26));
  return Text;
}

StateSnapshot changed(const StateSnapshot &From) {
  std::string Bytes = From.m_Bytes;
  Bytes.insert(Bytes.size() / 2, "added");
  return StateSnapshot(std::move(Bytes));
}

} // namespace

TEST(StateCodec, RestoresACompleteState) {
  const StateSnapshot State(randomText(100'000, 1));
  const auto Restored = decodeState(encodeState(State, nullptr), nullptr);
  ASSERT_TRUE(Restored.has_value());
  EXPECT_EQ(Restored->m_Bytes, State.m_Bytes);
}

// Failure: a small change of a large state was sent in full.
TEST(StateCodec, ADifferenceIsSmallWhateverTheSizeOfTheState) {
  for (const std::size_t Size : {1'000UL, 1'000'000UL, 10'000'000UL}) {
    const StateSnapshot Base(randomText(Size, 1));
    const StateSnapshot Target = changed(Base);
    const StatePayload Payload = encodeState(Target, &Base);
    EXPECT_LT(Payload.m_Bytes.size(), 200 + Size / 1000) << Size;
    const auto Restored = decodeState(Payload, &Base);
    ASSERT_TRUE(Restored.has_value()) << Restored.error().m_Message;
    EXPECT_EQ(Restored->m_Bytes, Target.m_Bytes);
  }
}

// Failure: a damaged transfer or a wrong base was applied as a state.
TEST(StateCodec, RejectsDamagedPayloads) {
  const StateSnapshot Base(randomText(5'000, 1));
  const StateSnapshot Other(randomText(5'000, 2));
  const StatePayload Good = encodeState(changed(Base), &Base);
  EXPECT_FALSE(decodeState(Good, &Other).has_value());
  EXPECT_FALSE(decodeState(Good, nullptr).has_value());
  StatePayload WrongTarget = Good;
  ++WrongTarget.m_Target;
  EXPECT_FALSE(decodeState(WrongTarget, &Base).has_value());
  for (std::size_t At = 0; At < Good.m_Bytes.size(); ++At) {
    StatePayload Damaged = Good;
    Damaged.m_Bytes[At] = static_cast<char>(Damaged.m_Bytes[At] ^ 1);
    EXPECT_FALSE(decodeState(Damaged, &Base).has_value()) << At;
    // Also if the sender has computed the hash of the damaged bytes.
    Damaged.m_Hash = StateSnapshot(Damaged.m_Bytes).m_Hash;
    const auto Read = decodeState(Damaged, &Base);
    EXPECT_TRUE(!Read || Read->m_Hash == Good.m_Target) << At;
    Damaged.m_Bytes.resize(At);
    EXPECT_FALSE(decodeState(Damaged, &Base).has_value()) << At;
  }
}

TEST(StateHistory, OffersADifferenceFromAStateThatTheReceiverHas) {
  StateHistory History;
  EXPECT_EQ(History.payload({}), nullptr);
  const StateSnapshot First(randomText(50'000, 1));
  const StateSnapshot Second = changed(First);
  History.add(First);
  History.add(Second);
  const auto Difference = History.payload({12345, First.m_Hash});
  EXPECT_EQ(Difference->m_Base, First.m_Hash);
  EXPECT_EQ(Difference->m_Target, Second.m_Hash);
  EXPECT_EQ(History.payload({12345})->m_Base, 0U);
  // The same payload is offered again.
  EXPECT_EQ(History.payload({First.m_Hash}), Difference);
}

// Failure: each node compressed a state again that it had received compressed.
TEST(StateHistory, PassesOnTheReceivedPayload) {
  StateHistory Source;
  Source.add(StateSnapshot(randomText(50'000, 1)));
  const auto Payload = Source.payload({});
  StateHistory Receiver;
  Receiver.add(*decodeState(*Payload, nullptr), Payload);
  EXPECT_EQ(Receiver.payload({}), Payload);
}

TEST(StateHistory, KeepsABoundedNumberOfStates) {
  StateHistory History;
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed)
    History.add(StateSnapshot(randomText(100, Seed)));
  EXPECT_EQ(History.hashes().size(), 4U);
  for (std::uint64_t Seed = 0; Seed < 4; ++Seed)
    History.add(StateSnapshot(std::string(20'000'000 + Seed, 'x')));
  EXPECT_EQ(History.hashes().size(), 2U);
}

} // namespace corneldeck::feed
