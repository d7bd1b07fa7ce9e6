#include "base/err.h"

/*
 * Returns the message of an error code; never NULL. The messages appear in HTTP replies
 * and log lines.
 */
const char *cf_strerror(int err)
{
	switch ((enum cf_err)err) {
	case CF_OK:
		return "ok";
	case CF_ENOMEM:
		return "out of memory";
	case CF_EINVAL:
		return "invalid value";
	case CF_EMALFORMED:
		return "malformed message";
	case CF_ETOOBIG:
		return "size limit exceeded";
	case CF_ENOENT:
		return "not found";
	case CF_EEXIST:
		return "already exists";
	case CF_ECONFLICT:
		return "version conflict";
	case CF_ENOTLEADER:
		return "not the leader";
	case CF_EUNAVAIL:
		return "no quorum or peer available";
	case CF_ETIMEOUT:
		return "deadline exceeded";
	case CF_ECONN:
		return "connection failed";
	case CF_EAUTH:
		return "authentication failed";
	case CF_EPERM:
		return "permission denied";
	case CF_EBUSY:
		return "limit reached";
	case CF_EIO:
		return "input/output error";
	case CF_ECORRUPT:
		return "stored data is corrupt";
	case CF_ESTALE:
		return "stale epoch, version or lease";
	case CF_EDRAINING:
		return "shutting down";
	case CF_EREUSED:
		return "idempotency key reused with another request";
	case CF_EINPROGRESS:
		return "request is in progress";
	case CF_EUNKNOWN:
		return "outcome unknown";
	case CF_EFOREIGN:
		return "data folder belongs to another member";
	case CF_ENOSPACE:
		return "store is full";
	}
	return "unknown error number";
}
