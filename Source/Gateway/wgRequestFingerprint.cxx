// SPDX-License-Identifier: Apache-2.0
#include "wgRequestFingerprint.h"

#include <array>
#include <cstddef>
#include <memory>

#include <openssl/evp.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr std::size_t FingerprintBytes = 16;

using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

/** With its length, so that no two contents read alike. */
void AddPart(EVP_MD_CTX* context, absl::string_view part)
{
  const std::string size = absl::StrCat(part.size(), ":");
  EVP_DigestUpdate(context, size.data(), size.size());
  EVP_DigestUpdate(context, part.data(), part.size());
}

} // namespace

std::string FingerprintOf(const RequestContent& content)
{
  const DigestContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  AddPart(context.get(), content.account);
  AddPart(context.get(), content.host);
  AddPart(context.get(), content.target);
  AddPart(context.get(), content.body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  return { digest.begin(), digest.begin() + FingerprintBytes };
}

std::string PrintFingerprint(absl::string_view fingerprint)
{
  return absl::BytesToHexString(fingerprint);
}

} // namespace wg
