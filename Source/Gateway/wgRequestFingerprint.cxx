// SPDX-License-Identifier: Apache-2.0
#include "wgRequestFingerprint.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>

#include <openssl/evp.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr std::size_t FingerprintBytes = 16;
/** Longer ids of parts are told by their digests. */
constexpr std::size_t MaxPartBytes = 64;

using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

/** With its length, so that no two contents read alike. */
void AddPart(EVP_MD_CTX* context, absl::string_view part)
{
  const std::string size = absl::StrCat(part.size(), ":");
  EVP_DigestUpdate(context, size.data(), size.size());
  EVP_DigestUpdate(context, part.data(), part.size());
}

std::string DigestOf(absl::Span<const absl::string_view> parts)
{
  const DigestContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const absl::string_view part : parts) {
    AddPart(context.get(), part);
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  return { digest.begin(), digest.begin() + FingerprintBytes };
}

} // namespace

std::string FingerprintOf(const RequestContent& content)
{
  return DigestOf(
    { content.account, content.host, content.target, content.body });
}

std::string PrintFingerprint(absl::string_view fingerprint)
{
  return absl::BytesToHexString(fingerprint);
}

std::string PrintSuspect(const CrashSuspect& suspect)
{
  return suspect.cause == wire::PROMPT_PART ? suspect.name
                                            : PrintFingerprint(suspect.name);
}

std::vector<CrashSuspect> SharedParts(absl::Span<const PromptPart> parts)
{
  std::vector<CrashSuspect> suspects;
  const std::size_t shared = parts.empty() ? 0 : parts.size() - 1;
  const std::size_t count = std::min(shared, MaxSuspectParts);
  suspects.reserve(count);
  for (const PromptPart& part : parts.first(count)) {
    if (part.id.empty()) {
      continue;
    }
    const bool isLong = part.id.size() > MaxPartBytes;
    suspects.push_back(
      PartSuspect(isLong ? PrintFingerprint(DigestOf({ part.id })) : part.id));
  }
  return suspects;
}

} // namespace wg
