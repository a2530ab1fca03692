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

/// Limits of the schema; a message that exceeds them can't be encoded.
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxDemandBytes = 96;
constexpr std::size_t maxStateMembers = 4096;

} // namespace Lagoonbank::Membership
