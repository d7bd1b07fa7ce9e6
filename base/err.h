#ifndef BASE_ERR_H
#define BASE_ERR_H

/* Error codes of all functions. The values are part of the RPC protocol. */
enum cf_err {
	CF_OK = 0,
	CF_ENOMEM = -1,	      /* allocation failed */
	CF_EINVAL = -2,	      /* argument or message out of range */
	CF_EMALFORMED = -3,   /* message cannot be decoded */
	CF_ETOOBIG = -4,      /* size limit exceeded */
	CF_ENOENT = -5,	      /* no such object */
	CF_EEXIST = -6,	      /* object exists already */
	CF_ECONFLICT = -7,    /* expected version is not the current one */
	CF_ENOTLEADER = -8,   /* this process is not the leader */
	CF_EUNAVAIL = -9,     /* no quorum, no leader or no peer */
	CF_ETIMEOUT = -10,    /* deadline passed */
	CF_ECONN = -11,	      /* connection failed or broke */
	CF_EAUTH = -12,	      /* credential missing or wrong */
	CF_EPERM = -13,	      /* credential does not grant access to the object */
	CF_EBUSY = -14,	      /* queue or slot limit reached */
	CF_EIO = -15,	      /* disk or socket error */
	CF_ECORRUPT = -16,    /* checksum or sequence of stored data is wrong */
	CF_ESTALE = -17,      /* epoch, version or lease is out of date */
	CF_EDRAINING = -18,   /* process is shutting down */
	CF_EREUSED = -19,     /* idempotency key reused with another body */
	CF_EINPROGRESS = -20, /* the same request is being served */
	CF_EUNKNOWN = -21,    /* outcome cannot be known */
	CF_EFOREIGN = -22,    /* data folder belongs to another member */
	CF_ENOSPACE = -23,    /* a bounded store is full */
};

const char *cf_strerror(int err);

#endif
