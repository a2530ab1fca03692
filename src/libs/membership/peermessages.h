#pragma once

#include "schema/generated/peer.h"

#include <cstddef>

namespace Lagoonbank::Membership {

using Schema::ConfigurationMark;
using Schema::DataCentreContact;
using Schema::DemandDigest;
using Schema::LeavingEndpoint;
using Schema::LoadReport;
using Schema::MemberRole;
using Schema::MemberStatus;
using Schema::MemberUpdate;
using Schema::MessageTime;
using Schema::MessageType;
using Schema::PeerMessage;
using Schema::StateAnswer;
using Schema::StateRequest;
using Schema::TableHash;

/// Bounds of the schema that code which fills messages has to keep to.
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxDemandBytes = 96;
constexpr std::size_t maxStateMembers = 4096;

} // namespace Lagoonbank::Membership
