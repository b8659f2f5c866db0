#include "RankGroup/RankCodec.h"

#include <gtest/gtest.h>

namespace corneldeck::rankgroup {
namespace {

TEST(RankCodec, PreservesAllFieldsOfProposal) {
  Proposal Sent;
  Sent.m_Id = {3, 4, 5};
  Sent.m_Base = {1, 2, 9};
  Sent.m_Epoch = {7, 8};
  Sent.m_Step = 100;
  ExpertMap Body = ExpertMap::contiguous(4, 16);
  Body.add(0, 3);
  Sent.m_Body = std::make_shared<const ExpertMap>(Body);
  Sent.m_Reason = "skew";
  const auto Decoded = fromWire(toWire("g", {2, Sent}));
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(Decoded->m_From, 2U);
  const auto &Received = std::get<Proposal>(Decoded->m_Body);
  EXPECT_EQ(Received.m_Id, Sent.m_Id);
  EXPECT_EQ(Received.m_Base, Sent.m_Base);
  EXPECT_EQ(Received.m_Epoch, Sent.m_Epoch);
  EXPECT_EQ(Received.m_Step, Sent.m_Step);
  EXPECT_EQ(*Received.m_Body, Body);
}

TEST(RankCodec, RejectsInconsistentMaps) {
  Proposal Sent;
  Sent.m_Body = std::make_shared<const ExpertMap>(ExpertMap::contiguous(4, 16));
  wire::RankMessage Content = toWire("g", {2, Sent});
  Content.mutable_proposal()->mutable_map()->set_copies(0, 4'000'000);
  EXPECT_FALSE(fromWire(Content).has_value());
  Content.mutable_proposal()->mutable_map()->set_ranks(4'000'000'000);
  EXPECT_FALSE(fromWire(Content).has_value());
  EXPECT_FALSE(fromWire(wire::RankMessage()).has_value());
}

} // namespace
} // namespace corneldeck::rankgroup
